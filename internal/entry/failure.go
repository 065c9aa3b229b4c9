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

// statusCallerGone marks requests whose caller left; nobody receives it.
const statusCallerGone = 499

// unreachableRetry is when a caller may try again after no replica was reached.
const unreachableRetry = time.Second

// run says what a failure of the call may claim.
func (s *session) run() structs.Run {
	switch s.outcome {
	case structs.OutcomeNotRun:
		return structs.RunNo
	case structs.OutcomeAnswered:
		return structs.RunYes
	}
	return structs.RunUnknown
}

// failure turns an error into the problem that the caller gets.
func (s *session) failure(err error) *structs.Problem {
	var problem *structs.Problem
	var status *upstream.StatusError
	switch {
	case errors.As(err, &problem):
		return s.keepTrue(problem)
	case errors.Is(err, upstream.ErrOldFence):
		return s.keepTrue(retryLater("call-superseded", "the engine has seen a newer call of the program and did not run this one", unreachableRetry))
	case errors.As(err, &status):
		return s.statusFailure(status)
	}
	code, detail, httpStatus := describe(err)
	problem = withRun(newProblem(httpStatus, code, detail), s.run())
	if problem.Run == structs.RunNo && httpStatus == http.StatusServiceUnavailable {
		problem.RetryAfter = unreachableRetry
	}
	return problem
}

// keepTrue corrects a problem that was found after an earlier attempt was sent.
func (s *session) keepTrue(problem *structs.Problem) *structs.Problem {
	if problem.Run != structs.RunNo || s.outcome == structs.OutcomeNotRun {
		return problem
	}
	corrected := withRun(problem, s.run())
	corrected.RetryAfter = 0
	return corrected
}

// describe returns the code, detail and status of a failed attempt.
func describe(err error) (code, detail string, status int) {
	switch {
	case errors.Is(err, errKeyWithdrawn):
		return "key-withdrawn", "the key was withdrawn", http.StatusUnauthorized
	case errors.Is(err, errNotCurrent):
		return "not-current", "this host does not know whether its lists are current; use another entry host", http.StatusServiceUnavailable
	case errors.Is(err, upstream.ErrNotSent):
		return "upstream-unreachable", "no replica could be reached", http.StatusServiceUnavailable
	case errors.Is(err, upstream.ErrTimeout):
		return "upstream-timeout", "the replica did not answer in time", http.StatusGatewayTimeout
	case errors.Is(err, upstream.ErrForeignAnswer):
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

// refusedByEngine says whether an engine refused the request for its content.
func refusedByEngine(err error) bool {
	var status *upstream.StatusError
	return errors.As(err, &status) && !errors.Is(err, upstream.ErrOldFence) && status.Status/100 == 4 &&
		status.Status != http.StatusTooManyRequests && status.Status != http.StatusRequestTimeout &&
		status.Status != http.StatusUnauthorized && status.Status != http.StatusForbidden &&
		!modelNotLoaded(err)
}

// modelNotLoaded says whether a replica does not hold the model. The lists name the
// model, so another replica may hold it; this one ran nothing.
func modelNotLoaded(err error) bool {
	var status *upstream.StatusError
	return errors.As(err, &status) && status.Status == http.StatusNotFound
}

// statusFailure returns the problem of an engine's error status.
func (s *session) statusFailure(status *upstream.StatusError) *structs.Problem {
	if refusedByEngine(status) {
		return withRun(newProblem(status.Status, "upstream-refused", engineMessage(status.Body)), structs.RunYes)
	}
	if modelNotLoaded(status) {
		return s.keepTrue(retryLater("model-not-loaded", "no replica that was tried holds the model yet", unreachableRetry))
	}
	if status.Status == http.StatusTooManyRequests || status.Status == http.StatusServiceUnavailable {
		return withRun(newProblem(http.StatusServiceUnavailable, "upstream-busy", "the replica refused work"), s.run())
	}
	return withRun(newProblem(http.StatusBadGateway, "upstream-error", status.Error()), s.run())
}

// engineMessage returns the message of an engine's error, in the form of the chat
// completions protocol.
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
