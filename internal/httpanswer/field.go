package httpanswer

import (
	"bytes"

	"github.com/samber/oops"
)

// field is one line of a head.
type field struct{ name, value []byte }

// parseField parses a line without its end (RFC 9112, 5). A line that begins with white space continues the line
// before: senders must not split lines, and readers differ in what they make of it.
func parseField(line []byte) (field, error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		return field{}, oops.With("line", string(line)).Wrapf(ErrInvalid, "field name")
	}
	if !isText(value) {
		return field{}, oops.With("line", string(line)).Wrapf(ErrInvalid, "field value")
	}
	return field{name, bytes.Trim(value, " \t")}, nil
}

// isToken reports whether name is a token (RFC 9110, 5.6.2).
func isToken[S []byte | string](name S) bool {
	for n := range len(name) {
		b := name[n]
		isAlphanumeric := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || isDigit(b)
		if !isAlphanumeric && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return len(name) > 0
}
