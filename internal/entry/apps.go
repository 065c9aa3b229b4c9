package entry

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/structs"
)

// appTarget is the route and the upstream path of a request below /apps.
type appTarget struct {
	route lists.Route
	path  string
}

// serveApp handles /apps/{pool}/...
func (s *Server) serveApp(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	caller, target, problem := s.authorizeApp(r)
	if problem != nil {
		s.writeProblem(w, problem)
		return
	}
	ctx := r.Context()
	if caller.account != "" {
		watched, stop := s.watchKey(ctx, caller)
		defer stop()
		ctx = watched
	}
	session, problem := s.newSession(ctx, caller, started)
	if problem != nil {
		s.writeProblem(w, problem)
		return
	}
	call := &appCall{session: session, incoming: r, target: target, reply: s.newReply(w)}
	if problem := call.read(); problem != nil {
		s.writeProblem(w, problem)
		return
	}
	s.runApp(w, call)
	if call.reply.isTruncated() {
		panic(http.ErrAbortHandler)
	}
}

// authorizeApp authenticates the caller and finds the route. A request on an open route
// needs no key.
func (s *Server) authorizeApp(r *http.Request) (principal, appTarget, *structs.Problem) {
	caller, refused := s.authenticate(r.Header)
	current := caller.lists
	if refused != nil {
		current = s.options.Lists.Current()
	}
	if current == nil {
		return caller, appTarget{}, refused
	}
	pool, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathApps), "/")
	route, path, match := current.MatchRoute(structs.PoolName(pool), r.Method, strings.TrimPrefix(r.URL.EscapedPath(), pathApps+pool))
	target := appTarget{route: route, path: path}
	open := match == lists.MatchFound && route.Open
	switch {
	case refused != nil && !open:
		return caller, target, refused
	case refused != nil:
		return principal{lists: current}, target, nil
	case match == lists.MatchInvalidPath:
		return caller, target, newProblem(http.StatusBadRequest, "path-invalid", "the path could be read in different ways")
	case match == lists.MatchMethodNotAllowed:
		return caller, target, newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "no route of this path allows the method")
	case match != lists.MatchFound || !open && !slices.Contains(caller.plan.Routes, route.Name):
		return caller, target, newProblem(http.StatusNotFound, "route-unknown", "the plan has no route for this path")
	}
	return caller, target, nil
}

// read validates the request's headers and reads its body. It reads the whole body if
// the request has an idempotency key, since the body must be compared with the claim,
// or if it fits the buffer; otherwise it reads the first part, and the rest is
// streamed.
func (c *appCall) read() *structs.Problem {
	key, problem := readIdempotencyKey(c.incoming.Header)
	if problem != nil {
		return problem
	}
	if key != "" && c.caller.account == "" {
		return newProblem(http.StatusBadRequest, "idempotency-key-invalid", headerIdempotencyKey+" needs a key of an account")
	}
	c.idempotencyKey = key
	limits := c.server.options.Limits
	if key != "" || c.incoming.ContentLength >= 0 && c.incoming.ContentLength <= limits.AppBuffer {
		c.body, problem = c.server.readBody(c.reply.w, c.incoming)
		return problem
	}
	return c.readPrefix(limits)
}

// readPrefix reads the first part of a body that may be streamed.
func (c *appCall) readPrefix(limits settings.Limits) *structs.Problem {
	if c.incoming.ContentLength > limits.MaxBody {
		return bodyTooLarge(limits.MaxBody)
	}
	limited := http.MaxBytesReader(c.reply.w, c.incoming.Body, limits.MaxBody)
	if err := c.reply.control.SetReadDeadline(time.Now().Add(limits.BodyTimeout)); err != nil {
		return newProblem(http.StatusInternalServerError, "internal", "the body cannot be read")
	}
	var err error
	c.body, err = io.ReadAll(io.LimitReader(limited, limits.AppBuffer+1))
	if problem := bodyProblem(err, limits.MaxBody); problem != nil {
		return problem
	}
	if int64(len(c.body)) > limits.AppBuffer {
		c.bodyRest = &timedReader{reader: limited, control: c.reply.control, timeout: limits.BodyTimeout}
		return nil
	}
	if err := c.reply.control.SetReadDeadline(time.Time{}); err != nil {
		return newProblem(http.StatusInternalServerError, "internal", "the body cannot be read")
	}
	return nil
}

// timedReader applies a separate timeout to each read of a streamed body.
type timedReader struct {
	reader  io.Reader
	control *http.ResponseController
	timeout time.Duration
}

// Read reads from the body and fails if no data arrives within the limit.
func (t *timedReader) Read(b []byte) (int, error) {
	if err := t.control.SetReadDeadline(time.Now().Add(t.timeout)); err != nil {
		return 0, err
	}
	n, err := t.reader.Read(b)
	if err == io.EOF {
		_ = t.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// digest returns the hash that identifies the request in its claim.
func (c *appCall) digest() [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{c.incoming.Method, string(c.target.route.Pool), c.target.path, c.incoming.URL.RawQuery} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(c.body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// bodyReader returns the request's body and its length for one attempt.
func (c *appCall) bodyReader() (io.Reader, int64) {
	switch {
	case c.bodyRest != nil:
		return io.MultiReader(bytes.NewReader(c.body), c.bodyRest), c.incoming.ContentLength
	case len(c.body) == 0:
		return nil, 0
	}
	return bytes.NewReader(c.body), int64(len(c.body))
}

// runApp charges the account's rate, claims the idempotency key and runs the call.
func (s *Server) runApp(w http.ResponseWriter, call *appCall) {
	w.Header().Set("X-Request-Id", string(call.call))
	if call.caller.account != "" {
		if problem := s.takeRate(call.callerCtx, w.Header(), call.caller); problem != nil {
			s.writeProblem(w, problem)
			return
		}
	}
	s.retries.addCall()
	if call.idempotencyKey == "" {
		call.execute()
		return
	}
	answer, problem := call.openClaim(call.idempotencyKey, call.digest())
	if problem != nil {
		call.cleanup()
		s.writeProblem(w, problem)
		return
	}
	if answer != nil {
		call.reply.writeStored(answer)
		return
	}
	s.runDetached(call.session, call.reply, call.execute)
}
