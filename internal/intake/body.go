package intake

import "errors"

const (
	// maxChunkLine is the size of the largest line before a chunk; net/http has the same limit.
	maxChunkLine = 4 << 10
	// maxTrailer is the size of the largest trailer. net/http accepts what fits in its buffer of 4 KB.
	maxTrailer = 4 << 10
	// maxSizeDigits is the number of digits of the largest chunk size.
	maxSizeDigits = 15
)

// errBody is returned for a body whose chunks are malformed or cost more than their limits.
var errBody = errors.New("malformed chunked body")

// chunkState is the part of a chunked body that comes next.
type chunkState int

const (
	chunkSize chunkState = iota
	// chunkExtension is the rest of the line with the size.
	chunkExtension
	chunkData
	chunkDataEnd
	trailer
	bodyEnded
)

// bodyScanner finds the end of a body that arrives in parts.
type bodyScanner struct {
	chunked bool
	state   chunkState
	// remaining is the number of bytes left of the body or chunk.
	remaining int64
	digits    int
	// lineBytes is the number of bytes of the current line, last its last byte.
	lineBytes int
	last      byte
	// trailerBytes is the number of bytes of the trailer.
	trailerBytes int
}

func newBodyScanner(f framing) bodyScanner {
	return bodyScanner{chunked: f.chunked, remaining: f.length}
}

// ended reports whether the body has ended.
func (s *bodyScanner) ended() bool {
	if s.chunked {
		return s.state == bodyEnded
	}
	return s.remaining == 0
}

// scan returns the number of bytes of data that belong to the body.
func (s *bodyScanner) scan(data []byte) (int, error) {
	if !s.chunked {
		n := min(int64(len(data)), s.remaining)
		s.remaining -= n
		return int(n), nil
	}
	n := 0
	for n < len(data) && s.state != bodyEnded {
		if s.state == chunkData {
			part := min(int64(len(data)-n), s.remaining)
			n += int(part)
			if s.remaining -= part; s.remaining == 0 {
				s.state, s.lineBytes = chunkDataEnd, 0
			}
			continue
		}
		if err := s.next(data[n]); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// next scans one byte outside of the data of a chunk.
func (s *bodyScanner) next(b byte) error {
	s.lineBytes++
	var err error
	switch s.state {
	case chunkSize:
		err = s.sizeByte(b)
	case chunkExtension:
		err = s.extensionByte(b)
	case chunkDataEnd:
		if b != "\r\n"[s.lineBytes-1] {
			return errBody
		}
		if s.lineBytes == 2 {
			s.startLine(chunkSize)
		}
	case trailer:
		err = s.trailerByte(b)
	}
	s.last = b
	return err
}

// startLine begins the next line.
func (s *bodyScanner) startLine(state chunkState) {
	s.state, s.lineBytes, s.digits = state, 0, 0
	if state == chunkSize {
		s.remaining = 0
	}
}

// sizeByte scans a digit of a chunk's size or the byte after it.
func (s *bodyScanner) sizeByte(b byte) error {
	digit := int64(0)
	switch {
	case b >= '0' && b <= '9':
		digit = int64(b - '0')
	case b >= 'a' && b <= 'f':
		digit = int64(b-'a') + 10
	case b >= 'A' && b <= 'F':
		digit = int64(b-'A') + 10
	case s.digits > 0 && (b == '\r' || b == ';' || b == ' ' || b == '\t'):
		s.state = chunkExtension
		return nil
	default:
		return errBody
	}
	if s.digits++; s.digits > maxSizeDigits {
		return errBody
	}
	s.remaining = s.remaining<<4 | digit
	return nil
}

// extensionByte scans the line after the size up to its end. An extension means nothing here.
func (s *bodyScanner) extensionByte(b byte) error {
	switch {
	case s.lineBytes > maxChunkLine:
		return errBody
	case b != '\n':
		return nil
	case s.last != '\r':
		return errBody
	case s.remaining == 0:
		s.startLine(trailer)
	default:
		s.startLine(chunkData)
	}
	return nil
}

// trailerByte scans the lines after the last chunk, up to an empty one.
func (s *bodyScanner) trailerByte(b byte) error {
	if s.trailerBytes++; s.trailerBytes > maxTrailer {
		return errBody
	}
	if b != '\n' {
		return nil
	}
	if s.last != '\r' || s.lineBytes == 1 {
		return errBody
	}
	if s.lineBytes == 2 {
		s.state = bodyEnded
		return nil
	}
	s.lineBytes = 0
	return nil
}
