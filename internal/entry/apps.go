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

// appTarget is where a request below /apps goes.
type appTarget struct {
	route lists.Route
	path  string
}

// serveApp answers /apps/{pool}/...
func (s *Server) serveApp(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	found, target, problem := s.authorizeApp(r)
	if problem != nil {
		s.refuse(w, problem)
		return
	}
	ctx := r.Context()
	if found.account != "" {
		watched, stop := s.watch(ctx, found)
		defer stop()
		ctx = watched
	}
	session, problem := s.newSession(ctx, found, started)
	if problem != nil {
		s.refuse(w, problem)
		return
	}
	call := &appCall{session: session, incoming: r, target: target, reply: s.newReply(w)}
	if problem := call.read(); problem != nil {
		s.refuse(w, problem)
		return
	}
	s.runApp(w, call)
	if call.reply.isBroken() {
		panic(http.ErrAbortHandler)
	}
}

// authorizeApp finds the caller and the route. A request on an open route may come
// without a key.
func (s *Server) authorizeApp(r *http.Request) (caller, appTarget, *structs.Problem) {
	found, refused := s.authenticate(r.Header)
	current := found.lists
	if refused != nil {
		current = s.options.Lists.Current()
	}
	if current == nil {
		return found, appTarget{}, refused
	}
	pool, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathApps), "/")
	route, path, match := current.MatchRoute(structs.PoolName(pool), r.Method, strings.TrimPrefix(r.URL.EscapedPath(), pathApps+pool))
	target := appTarget{route: route, path: path}
	open := match == lists.MatchFound && route.Open
	switch {
	case refused != nil && !open:
		return found, target, refused
	case refused != nil:
		return caller{lists: current}, target, nil
	case match == lists.MatchBadPath:
		return found, target, newProblem(http.StatusBadRequest, "path-invalid", "the path could be read in different ways")
	case match == lists.MatchMethod:
		return found, target, newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "no route of this path allows the method")
	case match != lists.MatchFound || !open && !slices.Contains(found.plan.Routes, route.Name):
		return found, target, newProblem(http.StatusNotFound, "route-unknown", "the plan has no route for this path")
	}
	return found, target, nil
}

// read checks the request's headers and reads its body: all of it when it must be
// compared with a claim, and otherwise the first part, whose rest is streamed.
func (c *appCall) read() *structs.Problem {
	key, problem := readIdempotencyKey(c.incoming.Header)
	if problem != nil {
		return problem
	}
	if key != "" && c.caller.account == "" {
		return newProblem(http.StatusBadRequest, "idempotency-key-invalid", headerIdempotent+" needs a key of an account")
	}
	c.idemKey = key
	limits := c.server.options.Limits
	if key != "" || c.incoming.ContentLength >= 0 && c.incoming.ContentLength <= limits.AppBuffer {
		c.body, problem = c.server.readBody(c.reply.w, c.incoming)
		return problem
	}
	return c.readStart(limits)
}

// readStart reads the first part of a body that is streamed.
func (c *appCall) readStart(limits settings.Limits) *structs.Problem {
	if c.incoming.ContentLength > limits.Body {
		return tooLarge(limits.Body)
	}
	limited := http.MaxBytesReader(c.reply.w, c.incoming.Body, limits.Body)
	if err := c.reply.control.SetReadDeadline(time.Now().Add(limits.BodyRead)); err != nil {
		return newProblem(http.StatusInternalServerError, "internal", "the body cannot be read")
	}
	var err error
	c.body, err = io.ReadAll(io.LimitReader(limited, limits.AppBuffer+1))
	if problem := bodyProblem(err, limits.Body); problem != nil {
		return problem
	}
	if int64(len(c.body)) > limits.AppBuffer {
		c.rest = &timedReader{reader: limited, control: c.reply.control, limit: limits.BodyRead}
		return nil
	}
	if err := c.reply.control.SetReadDeadline(time.Time{}); err != nil {
		return newProblem(http.StatusInternalServerError, "internal", "the body cannot be read")
	}
	return nil
}

// timedReader gives each read of a streamed body its own time.
type timedReader struct {
	reader  io.Reader
	control *http.ResponseController
	limit   time.Duration
}

// Read reads within the limit.
func (t *timedReader) Read(b []byte) (int, error) {
	if err := t.control.SetReadDeadline(time.Now().Add(t.limit)); err != nil {
		return 0, err
	}
	n, err := t.reader.Read(b)
	if err == io.EOF {
		_ = t.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// digest identifies the request for its claim.
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
	case c.rest != nil:
		return io.MultiReader(bytes.NewReader(c.body), c.rest), c.incoming.ContentLength
	case len(c.body) == 0:
		return nil, 0
	}
	return bytes.NewReader(c.body), int64(len(c.body))
}

// runApp takes rate, claims the idempotency key and runs the call.
func (s *Server) runApp(w http.ResponseWriter, call *appCall) {
	w.Header().Set("X-Request-Id", string(call.call))
	if call.caller.account != "" {
		if problem := s.takeRate(call.waiting, w.Header(), call.caller); problem != nil {
			s.refuse(w, problem)
			return
		}
	}
	s.retries.call()
	if call.idemKey == "" {
		call.execute()
		return
	}
	answer, problem := call.openClaim(call.idemKey, call.digest())
	if problem != nil {
		call.undo()
		s.refuse(w, problem)
		return
	}
	if answer != nil {
		call.reply.stored(answer)
		return
	}
	s.carry(call.session, call.reply, call.execute)
}
