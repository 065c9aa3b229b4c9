package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// statusCallerGone marks requests whose caller closed the connection; the response is
// never received.
const statusCallerGone = 499

// unreachableRetryAfter is the Retry-After of a call for which no replica was reached.
const unreachableRetryAfter = time.Second

// runStatus returns the run status to report if the call fails.
func (s *session) runStatus() structs.Run {
	switch s.outcome {
	case structs.OutcomeNotRun:
		return structs.RunNo
	case structs.OutcomeAnswered:
		return structs.RunYes
	}
	return structs.RunUnknown
}

// failure returns the problem to report to the caller for an error.
func (s *session) failure(err error) *structs.Problem {
	var problem *structs.Problem
	var status *upstream.StatusError
	switch {
	case errors.As(err, &problem):
		return s.correctRun(problem)
	case errors.Is(err, upstream.ErrStaleFence):
		return s.correctRun(retryLater("call-superseded", "the engine has seen a newer call of the program and did not run this one", unreachableRetryAfter))
	case errors.As(err, &status):
		return s.statusFailure(status)
	}
	code, detail, httpStatus := errorDetails(err)
	problem = withRun(newProblem(httpStatus, code, detail), s.runStatus())
	if problem.Run == structs.RunNo && httpStatus == http.StatusServiceUnavailable {
		problem.RetryAfter = unreachableRetryAfter
	}
	return problem
}

// correctRun corrects the run status of a problem that claims that the request was not
// run although an earlier attempt may have run it.
func (s *session) correctRun(problem *structs.Problem) *structs.Problem {
	if problem.Run != structs.RunNo || s.outcome == structs.OutcomeNotRun {
		return problem
	}
	corrected := withRun(problem, s.runStatus())
	corrected.RetryAfter = 0
	return corrected
}

// errorDetails returns the problem code, detail and HTTP status for a failed attempt.
func errorDetails(err error) (code, detail string, status int) {
	switch {
	case errors.Is(err, errKeyWithdrawn):
		return "key-withdrawn", "the key was withdrawn", http.StatusUnauthorized
	case errors.Is(err, errNotCurrent):
		return "not-current", "this host does not know whether its lists are current; use another entry host", http.StatusServiceUnavailable
	case errors.Is(err, upstream.ErrNotSent):
		return "upstream-unreachable", "no replica could be reached", http.StatusServiceUnavailable
	case errors.Is(err, upstream.ErrTimeout):
		return "upstream-timeout", "the replica did not answer in time", http.StatusGatewayTimeout
	case errors.Is(err, upstream.ErrAnswerMismatch):
		return "answer-foreign", "the replica sent the answer of another call", http.StatusBadGateway
	case errors.Is(err, upstream.ErrAnswerTooLong):
		return "answer-too-long", "the replica's answer exceeds the length limit", http.StatusBadGateway
	case errors.Is(err, context.Canceled):
		return "caller-gone", "the caller closed the connection", statusCallerGone
	case errors.Is(err, context.DeadlineExceeded):
		return "upstream-timeout", "the call took too long", http.StatusGatewayTimeout
	}
	return "answer-cut-short", "the replica's answer did not arrive whole", http.StatusBadGateway
}

// refusedByEngine reports whether an engine rejected the request because of its
// content.
func refusedByEngine(err error) bool {
	var status *upstream.StatusError
	return errors.As(err, &status) && !errors.Is(err, upstream.ErrStaleFence) && status.Status/100 == 4 &&
		status.Status != http.StatusTooManyRequests && status.Status != http.StatusRequestTimeout &&
		status.Status != http.StatusUnauthorized && status.Status != http.StatusForbidden &&
		!modelNotLoaded(err)
}

// modelNotLoaded reports whether a replica rejected the call because it does not have
// the model. Since the lists name the model, another replica may have it; this one ran
// nothing.
func modelNotLoaded(err error) bool {
	var status *upstream.StatusError
	return errors.As(err, &status) && status.Status == http.StatusNotFound
}

// statusFailure returns the problem for an engine's error status.
func (s *session) statusFailure(status *upstream.StatusError) *structs.Problem {
	if refusedByEngine(status) {
		return withRun(newProblem(status.Status, "upstream-refused", engineMessage(status.Body)), structs.RunYes)
	}
	if modelNotLoaded(status) {
		return s.correctRun(retryLater("model-not-loaded", "no replica that was tried holds the model yet", unreachableRetryAfter))
	}
	if status.Status == http.StatusTooManyRequests || status.Status == http.StatusServiceUnavailable {
		return withRun(newProblem(http.StatusServiceUnavailable, "upstream-busy", "the replica refused work"), s.runStatus())
	}
	return withRun(newProblem(http.StatusBadGateway, "upstream-error", status.Error()), s.runStatus())
}

// engineMessage returns the message of an engine's error response, which has the form
// of the chat completions protocol.
func engineMessage(body []byte) string {
	var document struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &document); err != nil || document.Error.Message == "" {
		return "the engine refused the request"
	}
	return document.Error.Message
}
