package intake

import (
	"bytes"
	"strconv"
)

// maxLeadingBytes is the number of CR and LF bytes that are skipped before a request; net/http
// tolerates as many after a POST.
const maxLeadingBytes = 4

// headScanner finds the end of a head that arrives in parts.
type headScanner struct {
	// leading is the number of bytes of empty lines that were skipped before the head.
	leading int
	// bytes is the number of bytes scanned, and lines that of complete lines.
	bytes, lines int
	// lineBytes is the number of bytes of the current line, and last its last byte.
	lineBytes int
	last      byte
}

// skipLeading returns the number of bytes at the start of data that precede the head. It reports
// false if there are too many.
func (s *headScanner) skipLeading(data []byte) (int, bool) {
	n := 0
	for s.bytes == 0 && n < len(data) && (data[n] == '\r' || data[n] == '\n') {
		n++
	}
	s.leading += n
	return n, s.leading <= maxLeadingBytes
}

// scan scans data up to the end of the head. It returns the number of bytes that belong to the head,
// and whether the head ends there.
func (s *headScanner) scan(data []byte) (n int, complete bool) {
	for n < len(data) {
		at := bytes.IndexByte(data[n:], '\n')
		if at < 0 {
			s.bytes += len(data) - n
			s.lineBytes += len(data) - n
			s.last = data[len(data)-1]
			return len(data), false
		}
		before := s.lineBytes + at
		if at > 0 {
			s.last = data[n+at-1]
		}
		empty := before == 0 || before == 1 && s.last == '\r'
		n += at + 1
		s.bytes += at + 1
		s.lineBytes = 0
		if empty {
			return n, true
		}
		s.lines++
	}
	return n, false
}

// framing is how the end of a request's body is found.
type framing struct {
	chunked bool
	// length is the length of a body that is not chunked.
	length int64
}

// parseFraming returns the framing of the body that follows a complete head. It returns a cause if
// the head is refused: whatever another reader of the same bytes could take for another framing.
func parseFraming(head []byte) (framing, cause) {
	line, rest := cutLine(head)
	// Only the last word of the start line matters here; net/http checks the others.
	minor, ok := protocolMinor(line)
	if !ok {
		return framing{}, causeHeadMalformed
	}
	var f framing
	hasLength, framingLine := false, false
	for len(rest) > 0 {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			// A continued line is part of the value before it.
			if framingLine {
				return framing{}, causeHeadMalformed
			}
			continue
		}
		name, value, found := bytes.Cut(line, []byte{':'})
		if !found {
			return framing{}, causeHeadMalformed
		}
		value = bytes.Trim(value, " \t")
		framingLine = true
		switch {
		case len(bytes.TrimSpace(name)) < len(name):
			// net/http refuses names with white space, and others may ignore it.
			return framing{}, causeHeadMalformed
		case isName(name, "content-length"):
			length, ok := parseLength(value)
			if !ok || f.chunked || hasLength && length != f.length {
				return framing{}, causeHeadMalformed
			}
			f.length, hasLength = length, true
		case isName(name, "transfer-encoding"):
			if hasLength || f.chunked || minor == 0 {
				return framing{}, causeHeadMalformed
			}
			if !bytes.EqualFold(value, []byte("chunked")) {
				return framing{}, causeTransferCoding
			}
			f.chunked = true
		default:
			framingLine = false
		}
	}
	return f, ""
}

// isName reports whether name is the field name want, which is in lower case.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// protocolMinor returns the minor version of the protocol HTTP/1 in a start line.
func protocolMinor(line []byte) (minor int, ok bool) {
	switch {
	case bytes.HasSuffix(line, []byte(" HTTP/1.1")):
		return 1, true
	case bytes.HasSuffix(line, []byte(" HTTP/1.0")):
		return 0, true
	}
	return 0, false
}

// parseLength decodes the value of a Content-Length.
func parseLength(value []byte) (int64, bool) {
	for _, b := range value {
		if b < '0' || b > '9' {
			return 0, false
		}
	}
	length, err := strconv.ParseInt(string(value), 10, 64)
	return length, err == nil
}
