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

// Service answers any method and path outside the ones listed here. It is an
// http.Handler and safe for concurrent use.
//
//   - GET /_runs returns the run counts.
//   - POST /_faults sets the faults.
//   - GET /v1/load returns the load report.
//   - GET /status/stream is a stream of numbered status events.
type Service struct {
	standin.Recorder
	settings Settings
	mux      *http.ServeMux
	load     *standin.LoadReport

	mu      sync.Mutex
	faults  Faults
	runs    map[runKey]int
	running int
	leaving bool
	closed  chan struct{}
	once    sync.Once
}

// New returns a service.
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

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends all status streams and hanging requests.
func (s *Service) Close() { s.once.Do(func() { close(s.closed) }) }

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetLeaving sets what the load report says about leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Runs returns the run counts, ordered by key, method and path.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, 0, len(s.runs))
	for key, count := range s.runs {
		runs = append(runs, Run{Key: key.key, Method: key.method, Path: key.path, Runs: count})
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Path, b.Path))
	})
	return runs
}

func (s *Service) measure() standin.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return standin.Load{Running: s.running, Slots: s.settings.Slots, Leaving: s.leaving}
}

// takeFaults returns the faults for one more request.
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

// count changes the number of running requests.
func (s *Service) count(change int) {
	s.mu.Lock()
	s.running += change
	s.mu.Unlock()
	s.load.Refresh()
}

func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !s.Record(w, r) {
		return
	}
	s.count(1)
	defer s.count(-1)
	faults := s.takeFaults()
	standin.EchoCallID(w, r, faults.ForeignCall)
	if faults.HangBeforeRun {
		s.hang(r)
	}
	if !standin.Sleep(r.Context(), time.Duration(faults.SlowMillis)*time.Millisecond) {
		standin.AbortConnection()
	}
	fails := faults.FailStatus != 0
	if fails && !faults.FailAfterRun {
		standin.WriteError(w, faults.FailStatus, "fault", "the request was not run")
		return
	}
	key := runKey{key: r.Header.Get("Idempotency-Key"), method: r.Method, path: r.URL.Path}
	runs := s.run(key)
	// The effect stands even when the client leaves during the work.
	standin.Sleep(r.Context(), s.settings.Work)
	switch {
	case faults.DropAfterRun:
		standin.AbortConnection()
	case fails:
		standin.WriteError(w, faults.FailStatus, "fault", "the request was run")
	default:
		s.answer(w, r, key, runs)
	}
}

func (s *Service) run(key runKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

// answer tells which request was run and how often.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, key runKey, runs int) {
	body, _ := io.ReadAll(r.Body) // the recorder has read it without error
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

func (s *Service) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	standin.AbortConnection()
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, map[string][]Run{"runs": s.Runs()})
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// serveStream sends a numbered event at each interval until the client leaves.
func (s *Service) serveStream(w http.ResponseWriter, r *http.Request) {
	if !s.Record(w, r) {
		return
	}
	s.count(1)
	defer s.count(-1)
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
