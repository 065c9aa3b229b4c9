package httpanswer

import (
	"bytes"
	"net/http"

	"github.com/samber/oops"
)

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
	const version, codeStart, codeEnd = "HTTP/1.", len("HTTP/1.1 "), len("HTTP/1.1 200")
	isValid := len(line) >= codeEnd && bytes.HasPrefix(line, []byte(version)) && isDigit(line[len(version)]) && line[codeStart-1] == ' ' &&
		line[codeStart] >= '1' && line[codeStart] <= '5' && isDigit(line[codeStart+1]) && isDigit(line[codeStart+2]) &&
		(len(line) == codeEnd || line[codeEnd] == ' ') && isText(line[codeEnd:])
	if !isValid {
		return statusLine{}, oops.With("line", string(line)).Wrapf(ErrInvalid, "status line")
	}
	l := statusLine{minor: line[len(version)] - '0', status: decimal(line[codeStart:codeEnd])}
	if l.status == http.StatusSwitchingProtocols {
		return statusLine{}, oops.Wrapf(ErrInvalid, "protocol switched")
	}
	return l, nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// decimal returns the value of a few digits.
func decimal(digits []byte) int {
	value := 0
	for _, b := range digits {
		value = 10*value + int(b-'0')
	}
	return value
}

// isText reports whether text contains no control bytes but tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
