package weights

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"cowslipgw/internal/standin"
)

const (
	defaultBytesPerSecond = 64 << 20
	defaultModelBytes     = 8 << 20
	// chunk is what one download sends at a time. Downloads take turns by chunks.
	chunk = 64 << 10
)

// Settings of a weight store. Zero values mean the defaults.
type Settings struct {
	// BytesPerSecond limits all downloads together; default 64 MiB/s.
	BytesPerSecond int64
	// Models holds the size of each model in bytes; 0 means 8 MiB.
	Models map[string]int64
	// MaxDownloads limits the downloads at one time; more get 429. 0 means no limit.
	MaxDownloads int
}

// Store serves GET /weights/{model}. It is an http.Handler and safe for
// concurrent use.
type Store struct {
	settings Settings
	mux      *http.ServeMux
	zeros    []byte

	mu        sync.Mutex
	downloads int
	finished  map[string]int
	// free is when the bytes that were already assigned are sent.
	free time.Time
}

// New returns a weight store.
func New(settings Settings) *Store {
	if settings.BytesPerSecond <= 0 {
		settings.BytesPerSecond = defaultBytesPerSecond
	}
	s := &Store{
		settings: settings,
		mux:      http.NewServeMux(),
		zeros:    make([]byte, chunk),
		finished: make(map[string]int),
	}
	s.mux.HandleFunc("GET /weights/{model}", s.serveModel)
	return s
}

// ServeHTTP answers one request.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Downloads returns how often a model was sent in full.
func (s *Store) Downloads(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished[model]
}

func (s *Store) serveModel(w http.ResponseWriter, r *http.Request) {
	model := r.PathValue("model")
	size, found := s.settings.Models[model]
	if !found {
		standin.WriteError(w, http.StatusNotFound, "model_not_found", "no weights of model "+strconv.Quote(model))
		return
	}
	if size <= 0 {
		size = defaultModelBytes
	}
	if !s.begin() {
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "rate_limited", "too many downloads at one time")
		return
	}
	defer s.end()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	for left := size; left > 0; {
		n := min(left, chunk)
		if !standin.Sleep(r.Context(), s.assign(n)) {
			return
		}
		if _, err := w.Write(s.zeros[:n]); err != nil {
			return
		}
		left -= n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished[model]++
}

func (s *Store) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.MaxDownloads > 0 && s.downloads >= s.settings.MaxDownloads {
		return false
	}
	s.downloads++
	return true
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downloads--
}

// assign reserves the next n bytes of the rate and returns how long they take from
// now.
func (s *Store) assign(n int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(n * int64(time.Second) / s.settings.BytesPerSecond))
	return s.free.Sub(now)
}
