package entry

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
)

// Paths for callers.
const (
	pathChat   = "/v1/chat/completions"
	pathModels = "/v1/models"
	pathHosts  = "/v1/entry-hosts"
	pathHealth = "/healthz"
	pathApps   = "/apps/"
)

// maxCallerHeaderBytes bounds the size of a request's header.
const maxCallerHeaderBytes = 32 << 10

// Server serves the requests of callers.
type Server struct {
	options  Options
	metrics  *serverMetrics
	registry *registry
	retries  *retryBudget
	sequence atomic.Uint64
	draining atomic.Bool
	// detached counts the work that continues after its caller has disconnected.
	detached sync.WaitGroup
	conns    atomic.Int64
	http     *http.Server
}

// New returns a server. Serve accepts connections, and Run cancels the requests of
// withdrawn keys.
func New(options Options) *Server {
	s := &Server{
		options:  options,
		metrics:  newServerMetrics(),
		registry: newRegistry(),
		retries:  newRetryBudget(),
	}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: options.Limits.HeaderTimeout,
		IdleTimeout:       options.Limits.KeepAlive,
		MaxHeaderBytes:    maxCallerHeaderBytes,
		// Replies extend their own write deadline; this bounds all other responses.
		WriteTimeout: options.Limits.WriteTimeout,
		ErrorLog:     discardLog,
		ConnContext:  withHeadRecorder,
		ConnState:    s.trackConn,
	}
	return s
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(recordingListener{listener})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Metrics returns the server's metrics.
func (s *Server) Metrics() *metrics.Set { return s.metrics.set }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.metrics.active.Load() }

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	kind := kindOf(r.URL.Path)
	s.metrics.active.Add(1)
	defer s.metrics.active.Add(-1)
	recorder := &statusRecorder{ResponseWriter: w}
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	ctx, span := s.options.Tracer.Start(trace.Extract(r.Context(), r.Header), "entry."+kind, attribute.String("route", kind))
	defer span.End()
	defer func() {
		abort := s.recoverHandler(recorder, recover())
		s.metrics.countRequest(kind, recorder.status, time.Since(started))
		if abort {
			panic(http.ErrAbortHandler)
		}
	}()
	s.route(recorder, r.WithContext(ctx), kind)
}

// route calls the handler for a path.
func (s *Server) route(w http.ResponseWriter, r *http.Request, kind string) {
	if problem := checkRequest(r); problem != nil {
		w.Header().Set("Connection", "close")
		s.writeProblem(w, problem)
		return
	}
	switch kind {
	case kindChat:
		s.serveChat(w, r)
	case kindModels:
		s.serveModels(w, r)
	case kindApps:
		s.serveApp(w, r)
	case kindHosts:
		s.serveHosts(w, r)
	case kindHealth:
		s.serveHealth(w, r)
	default:
		s.writeProblem(w, newProblem(http.StatusNotFound, "path-unknown", "nothing is served at this path"))
	}
}

// kindOf returns the route kind for a path.
func kindOf(path string) string {
	switch path {
	case pathChat:
		return kindChat
	case pathModels:
		return kindModels
	case pathHosts:
		return kindHosts
	case pathHealth:
		return kindHealth
	}
	if strings.HasPrefix(path, pathApps) {
		return kindApps
	}
	return kindOther
}

// recoverHandler responds to a request whose handler panicked. It reports whether the
// connection must be closed abnormally because part of the response has already been
// sent.
func (s *Server) recoverHandler(w *statusRecorder, fault any) bool {
	if fault == nil {
		return false
	}
	if fault != http.ErrAbortHandler {
		s.options.Logger.Log(event.HandlerPanicked, event.Fields{"fault": fault})
	}
	if w.status != 0 || fault == http.ErrAbortHandler {
		return true
	}
	s.writeProblem(w, withRun(newProblem(http.StatusInternalServerError, "internal", "the host failed"), structs.RunUnknown))
	return false
}

// writeMethodNotAllowed responds with 405.
func (s *Server) writeMethodNotAllowed(w http.ResponseWriter, allowed string) {
	w.Header().Set("Allow", allowed)
	s.writeProblem(w, newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "this path allows "+allowed))
}
