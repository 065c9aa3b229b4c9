package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// sseBuffer is the read buffer of a stream in bytes.
const sseBuffer = 4 << 10

// SSEReader reads the data of server-sent events from a stream, as the HTML
// standard describes them. Comments and all fields but data are skipped.
type SSEReader struct {
	reader *bufio.Reader
	data   []byte
	line   []byte
	begun  bool
	skipLF bool
}

// NewSSEReader returns a reader of r.
func NewSSEReader(r io.Reader) *SSEReader {
	return &SSEReader{reader: bufio.NewReaderSize(r, sseBuffer)}
}

// Next returns the data of the next event. It is valid until the next call. The
// end of the stream is io.EOF; an event that the end cuts off is
// io.ErrUnexpectedEOF.
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
			return nil, fmt.Errorf("%w: event of more than %d bytes", ErrAnswerTooLong, maxEventBytes)
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

// readLine returns the next line without its end, which is LF, CR or CR LF.
func (s *SSEReader) readLine() ([]byte, error) {
	if !s.begun {
		s.begun = true
		if mark, err := s.reader.Peek(3); err == nil && string(mark) == "\xef\xbb\xbf" {
			_, _ = s.reader.Discard(len(mark))
		}
	}
	s.line = s.line[:0]
	for {
		c, err := s.reader.ReadByte()
		if err != nil {
			return s.line, err
		}
		if s.skipLF {
			s.skipLF = false
			if c == '\n' {
				continue
			}
		}
		switch c {
		case '\n':
			return s.line, nil
		case '\r':
			s.skipLF = true
			return s.line, nil
		}
		if len(s.line) >= maxEventBytes {
			return nil, fmt.Errorf("%w: line of more than %d bytes", ErrAnswerTooLong, maxEventBytes)
		}
		s.line = append(s.line, c)
	}
}
