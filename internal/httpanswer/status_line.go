package httpanswer

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/samber/oops"
)

// maxStatus is the last status code of a defined class (RFC 9110, 15).
const maxStatus = 599

// statusLine is the first line of an answer.
type statusLine struct {
	// minor is the minor version of HTTP/1.
	minor byte
	// status is the status code, from 100 to 599.
	status int
}

// isInterim reports whether another answer follows.
func (l statusLine) isInterim() bool { return l.status < http.StatusOK }

// mayHaveBody reports whether a body may follow an answer to a request other than HEAD. The head of a 304 may have
// the length of the body that is not sent.
func (l statusLine) mayHaveBody() bool { return !l.isInterim() && l.status != http.StatusNoContent }

// parseStatusLine parses a line without its end (RFC 9112, 4). The space before an empty reason may be missing, as it
// is in answers of older servers. No request of a host asks for another protocol, so that 101 is no answer to one.
func parseStatusLine(line []byte) (statusLine, error) {
	rest, isHTTP := bytes.CutPrefix(line, []byte("HTTP/1."))
	minor, rest, _ := bytes.Cut(rest, []byte{' '})
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	status, _ := strconv.Atoi(string(code)) // checked with isNumber
	isStatus := len(code) == 3 && isNumber(code) && status >= http.StatusContinue && status <= maxStatus
	if !isHTTP || len(minor) != 1 || !isNumber(minor) || !isStatus || !isText(reason) {
		return statusLine{}, oops.With("line", string(line)).Wrapf(ErrInvalid, "status line")
	}
	if status == http.StatusSwitchingProtocols {
		return statusLine{}, oops.Wrapf(ErrInvalid, "protocol switched")
	}
	return statusLine{minor: minor[0] - '0', status: status}, nil
}

// isNumber reports whether text consists of one digit or more.
func isNumber(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) {
			return false
		}
	}
	return len(text) > 0
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether text contains no control bytes but tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
