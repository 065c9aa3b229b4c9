package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/structs"
)

// problemType is the prefix of a problem's type URI.
const problemType = "urn:problem-type:cowslipgw:"

// problemDocument is the RFC 9457 representation of a problem. OpenAI clients read the
// member "error".
type problemDocument struct {
	Type   string       `json:"type"`
	Title  string       `json:"title"`
	Status int          `json:"status"`
	Detail string       `json:"detail"`
	Run    structs.Run  `json:"run"`
	Error  problemError `json:"error"`
}

// problemError is the error object of the chat completions protocol.
type problemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// newProblem returns a problem for a request that was not run.
func newProblem(status int, code, detail string) *structs.Problem {
	return &structs.Problem{Status: status, Code: code, Detail: detail, Run: structs.RunNo}
}

// retryLater returns a 503 problem with Retry-After for a request that was not run.
func retryLater(code, detail string, after time.Duration) *structs.Problem {
	problem := newProblem(http.StatusServiceUnavailable, code, detail)
	problem.RetryAfter = after
	return problem
}

// problemOf returns the problem in err's chain. Any other error becomes a 503 problem
// with the given code and detail.
func problemOf(err error, code, detail string) *structs.Problem {
	var problem *structs.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return retryLater(code, detail, time.Second)
}

// withRun returns a copy of the problem with the given run status.
func withRun(problem *structs.Problem, run structs.Run) *structs.Problem {
	changed := *problem
	changed.Run = run
	return &changed
}

// encodeProblem returns the JSON document of a problem.
func encodeProblem(problem *structs.Problem) []byte {
	body, err := json.Marshal(problemDocument{
		Type:   problemType + problem.Code,
		Title:  http.StatusText(problem.Status),
		Status: problem.Status,
		Detail: problem.Detail,
		Run:    problem.Run,
		Error: problemError{
			Message: problem.Detail + " (run: " + string(problem.Run) + ")",
			Type:    errorType(problem.Status),
			Code:    problem.Code,
		},
	})
	if err != nil {
		// Unreachable: strings and numbers can always be encoded.
		panic(err)
	}
	return body
}

// errorType returns the error type that OpenAI clients expect for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusPaymentRequired:
		return "insufficient_quota"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// setProblemHeader sets the response headers of a problem.
func setProblemHeader(header http.Header, problem *structs.Problem) {
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(problem.RetryAfter), 10))
	}
	if problem.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	// OpenAI clients retry some failed requests automatically. A request that may have
	// been run must not be retried without the caller's decision.
	header.Set("X-Should-Retry", strconv.FormatBool(problem.RetryAfter > 0))
}

// wholeSeconds rounds d up to whole seconds, with a minimum of 1.
func wholeSeconds(d time.Duration) int64 {
	return max(1, int64(math.Ceil(d.Seconds())))
}

// writeProblem responds with a problem.
func (s *Server) writeProblem(w http.ResponseWriter, problem *structs.Problem) {
	s.metrics.countProblem(problem.Code)
	body := encodeProblem(problem)
	// The write deadline was set when the request's head arrived and may have passed.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.Limits.WriteTimeout))
	header := w.Header()
	setProblemHeader(header, problem)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(problem.Status)
	_, _ = w.Write(body)
}
