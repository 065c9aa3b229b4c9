package httpanswer

import (
	"bytes"
	"errors"
)

// ErrInvalid means that the head of an answer does not follow the protocol. Errors of this package wrap it.
var ErrInvalid = errors.New("head of answer is invalid")

// CheckHead checks a complete head, up to its empty line, that net/http has parsed. Net/http reads more than the
// protocol allows, and its reading may differ from that of the sender.
func CheckHead(head []byte) error {
	line, _, _ := bytes.Cut(head, []byte{'\n'})
	_, err := parseStatusLine(bytes.TrimSuffix(line, []byte{'\r'}))
	return err
}
