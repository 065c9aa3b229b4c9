package app

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/standin"
)

// Service accepts requests with any method and path. It is an http.Handler and
// safe for concurrent use. These endpoints have a special meaning:
//
//   - GET /_runs returns the run counts.
//   - POST /_faults replaces the injected faults.
//   - GET /v1/load returns the load report.
//   - GET /status/stream sends a stream of numbered status events.
type Service struct {
	standin.Recorder
	settings Settings
	mux      *http.ServeMux
	load     *standin.LoadReport

	mu        sync.Mutex
	faults    Faults
	runs      map[runKey]int
	running   int
	leaving   bool
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a Service with the given settings.
func New(settings Settings) *Service {
	s := &Service{
		settings: settings.withDefaults(),
		mux:      http.NewServeMux(),
		runs:     make(map[runKey]int),
		closed:   make(chan struct{}),
	}
	s.load = standin.NewLoadReport(settings.LoadLag, s.measure)
	s.mux.HandleFunc("GET /_runs", s.serveRuns)
	s.mux.HandleFunc("POST /_faults", s.serveFaults)
	s.mux.Handle("GET /v1/load", s.load)
	s.mux.HandleFunc("GET /status/stream", s.serveStream)
	s.mux.HandleFunc("/", s.serveRequest)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends all status streams and aborts hanging requests.
func (s *Service) Close() { s.closeOnce.Do(func() { close(s.closed) }) }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetLeaving sets the Leaving flag of the load report.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Runs returns the run counts, sorted by key, method and path.
func (s *Service) Runs() []RunCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]RunCount, 0, len(s.runs))
	for key, count := range s.runs {
		runs = append(runs, RunCount{Key: key.key, Method: key.method, Path: key.path, Runs: count})
	}
	slices.SortFunc(runs, func(a, b RunCount) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Path, b.Path))
	})
	return runs
}

// measure returns the current load.
func (s *Service) measure() standin.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return standin.Load{Running: s.running, Slots: s.settings.Slots, Leaving: s.leaving}
}

// takeFaults returns the faults that apply to the next request and counts down
// Faults.Times.
func (s *Service) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if s.faults.Times > 0 {
		s.faults.Times--
		if s.faults.Times == 0 {
			s.faults = Faults{}
		}
	}
	return faults
}

// addRunning adds delta to the number of running requests.
func (s *Service) addRunning(delta int) {
	s.mu.Lock()
	s.running += delta
	s.mu.Unlock()
	s.load.Refresh()
}

func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !s.Record(w, r) {
		return
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	faults := s.takeFaults()
	standin.EchoCallID(w, r, faults.ForeignCall)
	if faults.HangBeforeRun {
		s.hang(r)
	}
	if !standin.Sleep(r.Context(), time.Duration(faults.SlowMillis)*time.Millisecond) {
		standin.AbortConnection()
	}
	shouldFail := faults.FailStatus != 0
	if shouldFail && !faults.FailAfterRun {
		standin.WriteError(w, faults.FailStatus, "fault", "the request was not run")
		return
	}
	key := runKey{key: r.Header.Get("Idempotency-Key"), method: r.Method, path: r.URL.Path}
	runs := s.recordRun(key)
	// The run counts even if the client disconnects while it is in progress.
	standin.Sleep(r.Context(), s.settings.Work)
	switch {
	case faults.DropAfterRun:
		standin.AbortConnection()
	case shouldFail:
		standin.WriteError(w, faults.FailStatus, "fault", "the request was run")
	default:
		s.writeResponse(w, r, key, runs)
	}
}

// recordRun increments a run count and returns the new value.
func (s *Service) recordRun(key runKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

// writeResponse sends a response that describes the request and its run count.
func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, key runKey, runs int) {
	body, _ := io.ReadAll(r.Body) // cannot fail: Record has buffered the body
	w.Header().Set("X-Replica", s.settings.ID)
	standin.WriteJSON(w, http.StatusOK, map[string]any{
		"method":      key.method,
		"path":        key.path,
		"query":       r.URL.RawQuery,
		"key":         key.key,
		"runs":        runs,
		"body_bytes":  len(body),
		"body_digest": fmt.Sprintf("%016x", xxhash.Sum64(body)),
	})
}

// hang blocks until the client disconnects or the service is closed, and then
// aborts the connection.
func (s *Service) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	standin.AbortConnection()
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, map[string][]RunCount{"runs": s.Runs()})
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// serveStream sends a numbered event per interval until the client disconnects.
func (s *Service) serveStream(w http.ResponseWriter, r *http.Request) {
	if !s.Record(w, r) {
		return
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	ticker := time.NewTicker(s.settings.EventInterval)
	defer ticker.Stop()
	w.Header().Set("X-Replica", s.settings.ID)
	stream := standin.NewEventStream(w)
	for number := 1; ; number++ {
		data, _ := json.Marshal(map[string]any{"number": number, "at": time.Now().UTC()})
		if stream.Send(strconv.Itoa(number), data) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}
