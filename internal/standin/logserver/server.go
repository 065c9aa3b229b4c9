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
	// changed is closed when the faults change, to end long polls of a server that
	// goes down.
	changed chan struct{}
	closed  chan struct{}
	once    sync.Once
	limit   limit
}

// New returns an empty log.
func New(settings Settings) *Server {
	settings = settings.withDefaults()
	s := &Server{
		settings: settings,
		mux:      http.NewServeMux(),
		streams:  make(map[string]*stream),
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
		limit:    newLimit(settings.AppendsPerSecond, time.Now()),
	}
	s.mux.HandleFunc("POST /streams/{name}", s.serveAppend)
	s.mux.HandleFunc("GET /streams/{name}", s.serveRead)
	s.mux.HandleFunc("GET /faults", s.serveFaults)
	s.mux.HandleFunc("POST /faults", s.serveSetFaults)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close answers all waiting reads, so that a graceful stop does not wait for them.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Trim drops the records of a stream below an offset.
func (s *Server) Trim(name string, below uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamLocked(name).trimBelow(below)
}

// Records returns the records of a stream that are kept.
func (s *Server) Records(name string) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.streamLocked(name)
	answer, _ := stream.read(stream.first()-1, len(stream.entries))
	return answer.Records
}

// Append adds a record without limit or fault, for operators in tests.
func (s *Server) Append(name, id string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streamLocked(name).add(id, data, time.Now())
}

// streamLocked returns a stream with its retention applied.
func (s *Server) streamLocked(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = newStream()
		s.streams[name] = found
	}
	found.retain(s.settings, time.Now())
	return found
}

// delay applies the faults that concern every request.
func (s *Server) delay(ctx context.Context) {
	faults := s.Faults()
	if !faults.Down && standin.Sleep(ctx, time.Duration(faults.DelayMillis)*time.Millisecond) {
		// The server may have gone down during the delay.
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
	s.delay(r.Context())
	offset, lost, ok := s.append(r.PathValue("name"), request.ID, request.Data)
	switch {
	case !ok:
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "rate_limited", "too many appends a second")
	case lost:
		standin.AbortConnection()
	default:
		standin.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
	}
}

// append adds a record when the limit allows it. lost says that the answer must
// not be sent.
func (s *Server) append(name, id string, data []byte) (offset uint64, lost, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.limit.take(now) {
		return 0, false, false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lost = true
	}
	return s.streamLocked(name).add(id, data, now), lost, true
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(defaultText(query.Get("after"), "0"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "after is not a number")
		return
	}
	limit, err := strconv.Atoi(defaultText(query.Get("max"), "100"))
	if err != nil || limit < 1 {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "max is not a positive number")
		return
	}
	wait, err := strconv.Atoi(defaultText(query.Get("wait_ms"), "0"))
	if err != nil || wait < 0 {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "wait_ms is not a number")
		return
	}
	s.delay(r.Context())
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer deadline.Stop()
	answer, kept := s.poll(r.Context(), r.PathValue("name"), after, min(limit, maxBatch), deadline.C)
	status := http.StatusOK
	if !kept {
		status = http.StatusGone
	}
	standin.WriteJSON(w, status, answer)
}

// poll reads until there is a record, the time is over or the reader is gone.
func (s *Server) poll(ctx context.Context, name string, after uint64, limit int, over <-chan time.Time) (batch, bool) {
	for last := false; ; {
		s.mu.Lock()
		stream := s.streamLocked(name)
		answer, kept := stream.read(after, limit)
		grown, changed, down := stream.grown, s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			standin.AbortConnection()
		}
		if last || !kept || len(answer.Records) > 0 {
			return answer, kept
		}
		select {
		case <-grown:
		case <-changed:
		case <-over:
			last = true
		case <-s.closed:
			last = true
		case <-ctx.Done():
			last = true
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

func defaultText(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
