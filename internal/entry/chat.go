package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// serveChat handles POST /v1/chat/completions.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if r.Method != http.MethodPost {
		s.writeMethodNotAllowed(w, http.MethodPost)
		return
	}
	caller, problem := s.authenticate(r.Header)
	if problem != nil {
		s.writeProblem(w, problem)
		return
	}
	ctx, stop := s.watchKey(r.Context(), caller)
	defer stop()
	headers, problem := readProgram(r.Header, caller.account)
	if problem == nil && headers.end && r.ContentLength == 0 {
		s.endProgram(ctx, w, caller, headers)
		return
	}
	var call *chatCall
	if problem == nil {
		call, problem = s.newChatCall(ctx, w, r, caller)
	}
	if problem != nil {
		s.writeProblem(w, problem)
		return
	}
	call.started = started
	call.program = headers
	s.runChat(w, call)
}

// endProgram ends a program without another call.
func (s *Server) endProgram(ctx context.Context, w http.ResponseWriter, caller principal, headers programHeaders) {
	if problem := s.takeRate(ctx, w.Header(), caller); problem != nil {
		s.writeProblem(w, problem)
		return
	}
	if err := s.options.Programs.End(ctx, program.EndRequest{Key: headers.key}); err != nil {
		s.writeProblem(w, problemOf(err, "program-unavailable", "the owner of the program does not answer"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// newChatCall performs all checks that need no other host.
func (s *Server) newChatCall(ctx context.Context, w http.ResponseWriter, r *http.Request, caller principal) (*chatCall, *structs.Problem) {
	key, problem := readIdempotencyKey(r.Header)
	if problem != nil {
		return nil, problem
	}
	body, problem := s.readBody(w, r)
	if problem != nil {
		return nil, problem
	}
	request, problem := parseChat(body)
	if problem != nil {
		return nil, problem
	}
	model, problem := findModel(caller, request.model)
	if problem != nil {
		return nil, problem
	}
	limit, problem := s.completionLimit(request, model)
	if problem != nil {
		return nil, problem
	}
	session, problem := s.newSession(ctx, caller, time.Now())
	if problem != nil {
		return nil, problem
	}
	return &chatCall{session: session, request: request, model: model, maxTokens: limit, reply: s.newReply(w), idempotencyKey: key}, nil
}

// findModel returns the named model if the caller's plan includes it.
func findModel(caller principal, name string) (lists.Model, *structs.Problem) {
	for _, allowed := range caller.plan.Models {
		if model, ok := caller.lists.Models[name]; ok && allowed == name {
			return model, nil
		}
	}
	return lists.Model{}, newProblem(http.StatusNotFound, "model_not_found", "the plan has no model of that name")
}

// completionLimit returns the maximum number of tokens of the completion.
func (s *Server) completionLimit(request *chatRequest, model lists.Model) (int64, *structs.Problem) {
	limit := request.maxTokens
	if limit == 0 {
		limit = s.options.Limits.DefaultMaxTokens
		if model.Context > 0 {
			limit = min(limit, model.Context)
		}
	}
	if model.Context > 0 && limit > model.Context {
		return 0, invalidBody("the completion limit of %d tokens exceeds the model's context of %d", limit, model.Context)
	}
	return limit, nil
}

// runChat charges the account's rate, claims the idempotency key and runs the call. A
// claimed call runs detached from its caller, who may disconnect before it ends.
func (s *Server) runChat(w http.ResponseWriter, call *chatCall) {
	w.Header().Set("X-Request-Id", string(call.call))
	if problem := s.takeRate(call.callerCtx, w.Header(), call.caller); problem != nil {
		s.writeProblem(w, problem)
		return
	}
	s.retries.addCall()
	if call.idempotencyKey == "" {
		call.execute()
		return
	}
	answer, problem := call.openClaim(call.idempotencyKey, call.request.digest())
	if problem != nil {
		call.cleanup()
		s.writeProblem(w, problem)
		return
	}
	if answer != nil {
		replay(call.reply, call.request, answer)
		return
	}
	s.runDetached(call.session, call.reply, call.execute)
}

// runDetached runs a claimed call and returns when the call ends or the caller's
// context does.
func (s *Server) runDetached(session *session, reply *reply, run func()) {
	done := make(chan struct{})
	s.detached.Add(1)
	go func() {
		defer s.detached.Done()
		defer close(done)
		defer s.recoverDetached(session, reply)
		run()
	}()
	select {
	case <-done:
	case <-session.callerCtx.Done():
		s.endReplyEarly(session, reply, done)
	}
	reply.close()
}

// endReplyEarly responds to a connected caller whose claimed call continues without it,
// because its key was withdrawn or the host's lists are not current.
func (s *Server) endReplyEarly(session *session, reply *reply, done <-chan struct{}) {
	cause := context.Cause(session.callerCtx)
	if !errors.Is(cause, errKeyWithdrawn) && !errors.Is(cause, errNotCurrent) {
		return
	}
	select {
	case <-done:
	default:
		code, detail, status := errorDetails(cause)
		reply.fail(withRun(newProblem(status, code, detail), structs.RunUnknown))
	}
}

// recoverDetached recovers from a panic in a call that runs detached from its handler,
// and responds to the caller.
func (s *Server) recoverDetached(session *session, reply *reply) {
	if fault := recover(); fault != nil {
		s.options.Logger.Log(event.HandlerPanicked, event.Fields{"call": session.call, "fault": fault})
		reply.fail(withRun(newProblem(http.StatusInternalServerError, "internal", "the host failed"), structs.RunUnknown))
	}
}
