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

// maxCallerHeader bounds the header of a caller's request in bytes.
const maxCallerHeader = 32 << 10

// Server serves callers.
type Server struct {
	options  Options
	metrics  *serverMetrics
	registry *registry
	retries  *retryBudget
	sequence atomic.Uint64
	draining atomic.Bool
	// carried counts work that goes on when its caller has gone.
	carried sync.WaitGroup
	conns   atomic.Int64
	http    *http.Server
}

// New returns a server; Serve and Run start it.
func New(options Options) *Server {
	s := &Server{
		options:  options,
		metrics:  newServerMetrics(),
		registry: newRegistry(),
		retries:  newRetryBudget(),
	}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: options.Limits.Header,
		IdleTimeout:       options.Limits.KeepAlive,
		MaxHeaderBytes:    maxCallerHeader,
		// A reply moves its deadline on; this bounds the others.
		WriteTimeout: options.Limits.Write,
		ErrorLog:     discardLog,
		ConnContext:  withHeadRecorder,
		ConnState:    s.trackConn,
	}
	return s
}

// Serve accepts callers until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(recordingListener{listener})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Metrics returns the server's metrics.
func (s *Server) Metrics() *metrics.Set { return s.metrics.set }

// Active returns how many requests are being answered.
func (s *Server) Active() int64 { return s.metrics.active.Load() }

// ServeHTTP answers one request.
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
		s.metrics.answered(kind, recorder.status, time.Since(started))
		if abort {
			panic(http.ErrAbortHandler)
		}
	}()
	s.route(recorder, r.WithContext(ctx), kind)
}

// route calls the handler of a path.
func (s *Server) route(w http.ResponseWriter, r *http.Request, kind string) {
	if problem := checkRequest(r); problem != nil {
		w.Header().Set("Connection", "close")
		s.refuse(w, problem)
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
		s.refuse(w, newProblem(http.StatusNotFound, "path-unknown", "nothing is served at this path"))
	}
}

// kindOf returns the route kind of a path.
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

// recoverHandler answers after a panic. It says whether the connection must be broken,
// because a part of the answer was sent already.
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
	s.refuse(w, withRun(newProblem(http.StatusInternalServerError, "internal", "the host failed"), structs.RunUnknown))
	return false
}

// refuseMethod answers 405.
func (s *Server) refuseMethod(w http.ResponseWriter, allowed string) {
	w.Header().Set("Allow", allowed)
	s.refuse(w, newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "this path allows "+allowed))
}
