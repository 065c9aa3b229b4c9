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

// problemDocument is the RFC 9457 form of a problem. Member error is what OpenAI
// clients read.
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

// newProblem returns a problem of a request that was not run.
func newProblem(status int, code, detail string) *structs.Problem {
	return &structs.Problem{Status: status, Code: code, Detail: detail, Run: structs.RunNo}
}

// retryLater returns a 503 problem of a request that was not run.
func retryLater(code, detail string, after time.Duration) *structs.Problem {
	problem := newProblem(http.StatusServiceUnavailable, code, detail)
	problem.RetryAfter = after
	return problem
}

// problemOf returns err as a problem. Other errors become a 503 with the code.
func problemOf(err error, code, detail string) *structs.Problem {
	var problem *structs.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return retryLater(code, detail, time.Second)
}

// withRun returns a copy of the problem with another value of run.
func withRun(problem *structs.Problem, run structs.Run) *structs.Problem {
	changed := *problem
	changed.Run = run
	return &changed
}

// encodeProblem returns the problem's document.
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
		// Strings and numbers always encode.
		panic(err)
	}
	return body
}

// errorType returns the error type that OpenAI clients expect for a status.
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

// problemHeader sets the headers of a problem.
func problemHeader(header http.Header, problem *structs.Problem) {
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(problem.RetryAfter), 10))
	}
	if problem.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	// OpenAI clients repeat some failed requests by themselves. A request that may have
	// been run must not be repeated without the caller's decision.
	header.Set("X-Should-Retry", strconv.FormatBool(problem.RetryAfter > 0))
}

// wholeSeconds rounds up to at least one second.
func wholeSeconds(d time.Duration) int64 {
	return max(1, int64(math.Ceil(d.Seconds())))
}

// refuse answers with a problem.
func (s *Server) refuse(w http.ResponseWriter, problem *structs.Problem) {
	s.metrics.refused(problem.Code)
	body := encodeProblem(problem)
	// The time for an answer began with the request's head and may be over by now.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.Limits.Write))
	header := w.Header()
	problemHeader(header, problem)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(problem.Status)
	_, _ = w.Write(body)
}
