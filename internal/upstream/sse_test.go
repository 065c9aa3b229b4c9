package upstream_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"cowslipgw/internal/upstream"
)

// readEvents reads all events and returns them with the error that ended the stream.
func readEvents(r io.Reader) ([]string, error) {
	reader := upstream.NewSSEReader(r)
	var events []string
	for {
		data, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

// TestSSEReader guards against mishandled line terminators, comments and truncated
// events.
func TestSSEReader(t *testing.T) {
	cases := []struct {
		in   string
		want []string
		end  error
	}{
		{"data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		{"data:a\r\n\r\ndata: b\r\rdata:c\n\n", []string{"a", "b", "c"}, io.EOF},
		{"\xef\xbb\xbfdata: a\n\n", []string{"a"}, io.EOF},
		{": comment\nevent: x\nid: 1\ndata: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		{"data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"data: a\n\ndat", []string{"a"}, io.ErrUnexpectedEOF},
		{"data\n\n", []string{""}, io.EOF},
		{"data: " + strings.Repeat("x", 2<<20) + "\n\n", nil, upstream.ErrAnswerTooLong},
	}
	for _, c := range cases {
		is := is.New(t)
		events, err := readEvents(strings.NewReader(c.in))
		is.True(errors.Is(err, c.end))
		is.Equal(events, c.want)
	}
}

// FuzzSSEReader guards against panics, events that depend on how the bytes are split
// into reads, and events that the engine did not terminate.
func FuzzSSEReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\r\n\r\n"))
	f.Add([]byte(": c\n\ndata\n\n\xef\xbb\xbf"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, wholeErr := readEvents(bytes.NewReader(in))
		bytewise, bytewiseErr := readEvents(iotest.OneByteReader(bytes.NewReader(in)))
		if strings.Join(whole, "\x00") != strings.Join(bytewise, "\x00") {
			t.Fatalf("%q: %q as a whole, %q byte by byte", in, whole, bytewise)
		}
		if (wholeErr == nil) != (bytewiseErr == nil) || len(whole) > bytes.Count(in, []byte("data")) {
			t.Fatalf("%q: %v, %v, %d events", in, wholeErr, bytewiseErr, len(whole))
		}
	})
}
