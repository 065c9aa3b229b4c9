package entry

import (
	"io"
	"log"
	"net/http"
	"strings"

	"cowslipgw/internal/structs"
)

// discardLog drops net/http's own log lines, which have no event number.
var discardLog = log.New(io.Discard, "", 0)

// checkRequest refuses requests that hosts and upstreams could read differently.
func checkRequest(r *http.Request) *structs.Problem {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "the method is not served")
	}
	if len(r.TransferEncoding) > 0 && declaredLength(r) {
		return newProblem(http.StatusBadRequest, "framing-ambiguous", "the request has both Content-Length and Transfer-Encoding")
	}
	if !cleanPath(r.URL.EscapedPath()) {
		return newProblem(http.StatusBadRequest, "path-invalid", "the path has dot segments, empty segments, or encoded separators")
	}
	return nil
}

// cleanPath says whether every reader of the path sees the same segments.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "//") || strings.ContainsAny(path, "\\;") {
		return false
	}
	lower := strings.ToLower(path)
	for _, hidden := range []string{"%2f", "%5c", "%00", "%0a", "%0d"} {
		if strings.Contains(lower, hidden) {
			return false
		}
	}
	for segment := range strings.SplitSeq(strings.ReplaceAll(lower, "%2e", "."), "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}
