package logserver

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cowslipgw/internal/standin"
)

// Server is an in-memory log service. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	settings Settings
	mux      *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	// faultsChanged is closed when the faults change, so that long polls end when the
	// server goes down.
	faultsChanged chan struct{}
	closed        chan struct{}
	closeOnce     sync.Once
	limiter       rateLimiter
}

// New returns a Server without any records.
func New(settings Settings) *Server {
	settings = settings.withDefaults()
	s := &Server{
		settings:      settings,
		mux:           http.NewServeMux(),
		streams:       make(map[string]*stream),
		faultsChanged: make(chan struct{}),
		closed:        make(chan struct{}),
		limiter:       newRateLimiter(settings.AppendsPerSecond, time.Now()),
	}
	s.mux.HandleFunc("POST /streams/{name}", s.serveAppend)
	s.mux.HandleFunc("GET /streams/{name}", s.serveRead)
	s.mux.HandleFunc("GET /faults", s.serveFaults)
	s.mux.HandleFunc("POST /faults", s.serveSetFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close completes all long polls, so that a graceful shutdown does not wait for
// them.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.closed) }) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Trim deletes the records of a stream with offsets lower than below.
func (s *Server) Trim(name string, below uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamLocked(name).trimBelow(below)
}

// Records returns the retained records of a stream.
func (s *Server) Records(name string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.streamLocked(name)
	response, _ := stream.read(stream.firstOffset()-1, len(stream.records))
	return response.Records
}

// Append appends a record and returns its offset, bypassing the rate limit and
// the faults. Tests use it to change a stream as an operator would.
func (s *Server) Append(name, id string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamLocked(name).add(id, data, time.Now())
}

// streamLocked returns a stream after applying its retention. It creates the
// stream if it does not exist.
func (s *Server) streamLocked(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = newStream()
		s.streams[name] = found
	}
	found.applyRetention(s.settings, time.Now())
	return found
}

// applyFaults applies Down and DelayMillis to a request. It does not return if the
// server is down or ctx ends during the delay.
func (s *Server) applyFaults(ctx context.Context) {
	faults := s.Faults()
	if !faults.Down && standin.Sleep(ctx, time.Duration(faults.DelayMillis)*time.Millisecond) {
		// The server can go down during the delay.
		if !s.Faults().Down {
			return
		}
	}
	standin.AbortConnection()
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID   string `json:"id"`
		Data []byte `json:"data"`
	}
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	if request.ID == "" {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "id is missing")
		return
	}
	if len(request.Data) > s.settings.MaxRecordBytes {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "record_too_large",
			"data is longer than "+strconv.Itoa(s.settings.MaxRecordBytes)+" bytes")
		return
	}
	s.applyFaults(r.Context())
	offset, loseResponse, ok := s.append(r.PathValue("name"), request.ID, request.Data)
	switch {
	case !ok:
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "rate_limited", "too many appends a second")
	case loseResponse:
		standin.AbortConnection()
	default:
		standin.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
	}
}

// append appends a record if the rate limit allows it. If loseResponse is true,
// the caller must not send the response.
func (s *Server) append(name, id string, data []byte) (offset uint64, loseResponse, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.limiter.allow(now) {
		return 0, false, false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		loseResponse = true
	}
	return s.streamLocked(name).add(id, data, now), loseResponse, true
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(valueOrDefault(query.Get("after"), "0"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "after is not a number")
		return
	}
	limit, err := strconv.Atoi(valueOrDefault(query.Get("max"), "100"))
	if err != nil || limit < 1 {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "max is not a positive number")
		return
	}
	wait, err := strconv.Atoi(valueOrDefault(query.Get("wait_ms"), "0"))
	if err != nil || wait < 0 {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "wait_ms is not a number")
		return
	}
	s.applyFaults(r.Context())
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxPollWait))
	defer timer.Stop()
	response, available := s.poll(r.Context(), r.PathValue("name"), after, min(limit, maxRecordsPerRead), timer.C)
	status := http.StatusOK
	if !available {
		status = http.StatusGone
	}
	standin.WriteJSON(w, status, response)
}

// poll reads records after the given offset. If there are none, it waits until a
// record is appended, the timeout fires, the server is closed or the client
// disconnects. It returns false if some of the records have been trimmed.
func (s *Server) poll(ctx context.Context, name string, after uint64, limit int, timeout <-chan time.Time) (readResponse, bool) {
	for final := false; ; {
		s.mu.Lock()
		stream := s.streamLocked(name)
		response, available := stream.read(after, limit)
		appended, faultsChanged, down := stream.appended, s.faultsChanged, s.faults.Down
		s.mu.Unlock()
		if down {
			standin.AbortConnection()
		}
		if final || !available || len(response.Records) > 0 {
			return response, available
		}
		select {
		case <-appended:
		case <-faultsChanged:
		case <-timeout:
			final = true
		case <-s.closed:
			final = true
		case <-ctx.Done():
			final = true
		}
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}

// valueOrDefault returns value, or fallback if value is empty.
func valueOrDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
