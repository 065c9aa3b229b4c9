package httpanswer

import (
	"bytes"

	"github.com/samber/oops"
)

// framing is what the fields of a head say of the end of the body.
type framing struct {
	// isCoded is set by a Transfer-Encoding.
	isCoded bool
	// length is the value of Content-Length without leading zeros; nil if there is none.
	length []byte
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
	digits := value
	for len(digits) > 1 && digits[0] == '0' {
		digits = digits[1:]
	}
	if !isNumber(value) || f.length != nil && !bytes.Equal(f.length, digits) {
		return oops.With("length", string(value)).Wrapf(ErrInvalid, "length of the body")
	}
	f.length = digits
	return nil
}

// check checks whether the body of an answer with the given status line has one end only (RFC 9112, 6.1 and 6.3).
func (f *framing) check(l statusLine) error {
	switch {
	case f.isCoded && l.minor == 0:
		return oops.Wrapf(ErrInvalid, "transfer encoding in HTTP/1.0")
	case f.isCoded && f.length != nil:
		return oops.Wrapf(ErrInvalid, "transfer encoding beside a length")
	case !l.mayHaveBody() && (f.isCoded || f.length != nil && string(f.length) != "0"):
		return oops.With("status", l.status).Wrapf(ErrInvalid, "body after a status without one")
	}
	return nil
}
