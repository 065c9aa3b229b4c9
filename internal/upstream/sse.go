package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// sseBufferSize is the size in bytes of a stream's read buffer.
const sseBufferSize = 4 << 10

// SSEReader reads the data of server-sent events from a stream, as specified by the
// HTML standard. It skips comments and all fields other than data.
type SSEReader struct {
	reader     *bufio.Reader
	data       []byte
	line       []byte
	started    bool
	skipNextLF bool
}

// NewSSEReader returns an SSEReader that reads from r.
func NewSSEReader(r io.Reader) *SSEReader {
	return &SSEReader{reader: bufio.NewReaderSize(r, sseBufferSize)}
}

// Next returns the data of the next event, which is valid until the next call. It
// returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF if the stream ends
// within an event.
func (s *SSEReader) Next() ([]byte, error) {
	s.data = s.data[:0]
	seen := false
	for {
		line, err := s.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && (seen || len(line) > 0) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return s.data, nil
			}
			continue
		}
		value, isData := dataField(line)
		if !isData {
			continue
		}
		if seen {
			s.data = append(s.data, '\n')
		}
		seen = true
		if len(s.data)+len(value) > maxEventBytes {
			return nil, fmt.Errorf("%w: event exceeds %d bytes", ErrAnswerTooLong, maxEventBytes)
		}
		s.data = append(s.data, value...)
	}
}

// dataField returns the value of a "data" line.
func dataField(line []byte) ([]byte, bool) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return nil, false
	}
	if found && len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return value, true
}

// readLine returns the next line without its line terminator, which is LF, CR or CRLF.
func (s *SSEReader) readLine() ([]byte, error) {
	if !s.started {
		s.started = true
		if bom, err := s.reader.Peek(3); err == nil && string(bom) == "\xef\xbb\xbf" {
			_, _ = s.reader.Discard(len(bom))
		}
	}
	s.line = s.line[:0]
	for {
		c, err := s.reader.ReadByte()
		if err != nil {
			return s.line, err
		}
		if s.skipNextLF {
			s.skipNextLF = false
			if c == '\n' {
				continue
			}
		}
		switch c {
		case '\n':
			return s.line, nil
		case '\r':
			s.skipNextLF = true
			return s.line, nil
		}
		if len(s.line) >= maxEventBytes {
			return nil, fmt.Errorf("%w: line exceeds %d bytes", ErrAnswerTooLong, maxEventBytes)
		}
		s.line = append(s.line, c)
	}
}
