package httpanswer

import (
	"bytes"
	"strconv"

	"github.com/samber/oops"
)

// framing is what the fields of a head say of the end of the body.
type framing struct {
	// isCoded is set by a Transfer-Encoding.
	isCoded bool
	// hasLength is set by a Content-Length, whose value is length.
	hasLength bool
	length    uint64
}

// add takes the framing from one field.
func (f *framing) add(line field) error {
	switch {
	case bytes.EqualFold(line.name, []byte("Transfer-Encoding")):
		f.isCoded = true
	case bytes.EqualFold(line.name, []byte("Content-Length")):
		return f.addLength(line.value)
	}
	return nil
}

// addLength takes the length of the body from a value. A repeated field must have the same value.
func (f *framing) addLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || f.hasLength && f.length != length {
		return oops.With("length", string(value)).Wrapf(ErrInvalid, "length of the body")
	}
	f.hasLength, f.length = true, length
	return nil
}

// check checks whether the body of an answer with the given status line has one end only (RFC 9112, 6.1 and 6.3).
func (f *framing) check(l statusLine) error {
	switch {
	case f.isCoded && l.minor == 0:
		return oops.Wrapf(ErrInvalid, "transfer encoding in HTTP/1.0")
	case f.isCoded && f.hasLength:
		return oops.Wrapf(ErrInvalid, "transfer encoding beside a length")
	case !l.mayHaveBody() && (f.isCoded || f.length > 0):
		return oops.With("status", l.status).Wrapf(ErrInvalid, "body after a status without one")
	}
	return nil
}
