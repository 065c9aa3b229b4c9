package entry

import (
	"io"
	"log"
	"net/http"
	"strings"

	"cowslipgw/internal/structs"
)

// discardLog discards net/http's log output, which has no event numbers.
var discardLog = log.New(io.Discard, "", 0)

// checkRequest rejects requests that hosts and upstreams could interpret differently.
func checkRequest(r *http.Request) *structs.Problem {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "the method is not served")
	}
	if len(r.TransferEncoding) > 0 && declaredLength(r) {
		return newProblem(http.StatusBadRequest, "framing-ambiguous", "the request has both Content-Length and Transfer-Encoding")
	}
	if !isUnambiguousPath(r.URL.EscapedPath()) {
		return newProblem(http.StatusBadRequest, "path-invalid", "the path has dot segments, empty segments, or encoded separators")
	}
	return nil
}

// isUnambiguousPath reports whether all parsers see the same segments in path.
func isUnambiguousPath(path string) bool {
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
