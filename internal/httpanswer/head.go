package httpanswer

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/samber/oops"
)

// ErrInvalid means that the head of an answer does not follow the protocol. Errors of this package wrap it.
var ErrInvalid = errors.New("head of answer is invalid")

// CheckHead checks a complete head, up to its empty line, that net/http has parsed. Net/http reads more than the
// protocol allows, and its reading may differ from that of the sender.
func CheckHead(head []byte) error {
	var s headScanner
	_, err := s.scan(head)
	return err
}

// CheckTrailer checks the names of the fields that net/http has parsed after a chunked body.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isToken(name) {
			return oops.With("name", name).Wrapf(ErrInvalid, "field name after the body")
		}
	}
	return nil
}

// headScanner checks the lines of a head that arrives in parts.
type headScanner struct {
	// partial is the start of a line whose end has not arrived.
	partial []byte
	// hasStatus is set once the status line is complete.
	hasStatus bool
	status    statusLine
	framing   framing
}

// scan checks the next bytes of an answer. It reports whether the head of an answer that is not interim ends in them.
func (s *headScanner) scan(data []byte) (isComplete bool, err error) {
	for {
		line, rest, found := bytes.Cut(data, []byte{'\n'})
		if !found {
			s.partial = append(s.partial, line...)
			return false, nil
		}
		if len(s.partial) > 0 {
			line = append(s.partial, line...)
			s.partial = nil
		}
		data = rest
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) > 0 || !s.hasStatus {
			if err := s.addLine(line); err != nil {
				return false, err
			}
			continue
		}
		if err := s.framing.check(s.status); err != nil {
			return false, err
		}
		if !s.status.isInterim() {
			return true, nil
		}
		*s = headScanner{} // another head follows
	}
}

// addLine checks a line that is not the end of the head.
func (s *headScanner) addLine(line []byte) (err error) {
	if s.hasStatus {
		parsed, err := parseField(line)
		if err != nil {
			return err
		}
		return s.framing.add(parsed)
	}
	s.hasStatus = true
	s.status, err = parseStatusLine(line)
	return err
}
