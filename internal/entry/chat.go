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

// serveChat answers POST /v1/chat/completions.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if r.Method != http.MethodPost {
		s.refuseMethod(w, http.MethodPost)
		return
	}
	found, problem := s.authenticate(r.Header)
	if problem != nil {
		s.refuse(w, problem)
		return
	}
	ctx, stop := s.watch(r.Context(), found)
	defer stop()
	name, problem := readProgram(r.Header, found.account)
	if problem == nil && name.end && r.ContentLength == 0 {
		s.endProgram(ctx, w, found, name)
		return
	}
	var call *chatCall
	if problem == nil {
		call, problem = s.newChatCall(ctx, w, r, found)
	}
	if problem != nil {
		s.refuse(w, problem)
		return
	}
	call.started = started
	call.program = name
	s.runChat(w, call)
}

// endProgram ends a program without another call.
func (s *Server) endProgram(ctx context.Context, w http.ResponseWriter, found caller, name programName) {
	if problem := s.takeRate(ctx, w.Header(), found); problem != nil {
		s.refuse(w, problem)
		return
	}
	if err := s.options.Programs.End(ctx, program.EndRequest{Key: name.key}); err != nil {
		s.refuse(w, problemOf(err, "program-unavailable", "the owner of the program does not answer"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// newChatCall checks everything that needs no other host.
func (s *Server) newChatCall(ctx context.Context, w http.ResponseWriter, r *http.Request, found caller) (*chatCall, *structs.Problem) {
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
	model, problem := findModel(found, request.model)
	if problem != nil {
		return nil, problem
	}
	limit, problem := s.completionLimit(request, model)
	if problem != nil {
		return nil, problem
	}
	session, problem := s.newSession(ctx, found, time.Now())
	if problem != nil {
		return nil, problem
	}
	return &chatCall{session: session, request: request, model: model, maxTokens: limit, reply: s.newReply(w), idemKey: key}, nil
}

// findModel returns a model that the caller's plan includes.
func findModel(found caller, name string) (lists.Model, *structs.Problem) {
	for _, allowed := range found.plan.Models {
		if model, ok := found.lists.Models[name]; ok && allowed == name {
			return model, nil
		}
	}
	return lists.Model{}, newProblem(http.StatusNotFound, "model_not_found", "the plan has no model of that name")
}

// completionLimit returns how many tokens the answer may have.
func (s *Server) completionLimit(request *chatRequest, model lists.Model) (int64, *structs.Problem) {
	limit := request.maxTokens
	if limit == 0 {
		limit = s.options.Limits.MaxTokens
		if model.Context > 0 {
			limit = min(limit, model.Context)
		}
	}
	if model.Context > 0 && limit > model.Context {
		return 0, invalidBody("the completion limit of %d tokens exceeds the model's context of %d", limit, model.Context)
	}
	return limit, nil
}

// runChat takes rate, claims the idempotency key and runs the call. A claimed call
// runs apart from its caller, who may go before it ends.
func (s *Server) runChat(w http.ResponseWriter, call *chatCall) {
	w.Header().Set("X-Request-Id", string(call.call))
	if problem := s.takeRate(call.waiting, w.Header(), call.caller); problem != nil {
		s.refuse(w, problem)
		return
	}
	s.retries.call()
	if call.idemKey == "" {
		call.execute()
		return
	}
	answer, problem := call.openClaim(call.idemKey, call.request.digest())
	if problem != nil {
		call.undo()
		s.refuse(w, problem)
		return
	}
	if answer != nil {
		replay(call.reply, call.request, answer)
		return
	}
	s.carry(call.session, call.reply, call.execute)
}

// carry runs a claimed call and returns when it ends or its caller has gone.
func (s *Server) carry(session *session, reply *reply, run func()) {
	done := make(chan struct{})
	s.carried.Add(1)
	go func() {
		defer s.carried.Done()
		defer close(done)
		defer s.recoverCarried(session, reply)
		run()
	}()
	select {
	case <-done:
	case <-session.waiting.Done():
		s.leave(session, reply, done)
	}
	reply.close()
}

// leave answers a caller whose claimed call goes on without it.
func (s *Server) leave(session *session, reply *reply, done <-chan struct{}) {
	cause := context.Cause(session.waiting)
	if !errors.Is(cause, errKeyWithdrawn) && !errors.Is(cause, errNotCurrent) {
		return
	}
	select {
	case <-done:
	default:
		code, detail, status := describe(cause)
		reply.fail(withRun(newProblem(status, code, detail), structs.RunUnknown))
	}
}

// recoverCarried answers after a panic of a call that runs apart from its handler.
func (s *Server) recoverCarried(session *session, reply *reply) {
	if fault := recover(); fault != nil {
		s.options.Logger.Log(event.HandlerPanicked, event.Fields{"call": session.call, "fault": fault})
		reply.fail(withRun(newProblem(http.StatusInternalServerError, "internal", "the host failed"), structs.RunUnknown))
	}
}
