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
	// chunkSize is the number of bytes that a download sends at once. Concurrent
	// downloads share the bandwidth chunk by chunk.
	chunkSize = 64 << 10
)

// Settings configures a Store. Zero values select the defaults.
type Settings struct {
	// BytesPerSecond is the total bandwidth of all downloads. The default is
	// 64 MiB/s.
	BytesPerSecond int64
	// Models maps each model to its size in bytes; 0 means 8 MiB.
	Models map[string]int64
	// MaxDownloads limits the number of concurrent downloads. Further requests get
	// status 429. 0 means no limit.
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
	completed map[string]int
	// nextFree is the time at which all reserved bytes will have been sent.
	nextFree time.Time
}

// New returns a Store with the given settings.
func New(settings Settings) *Store {
	if settings.BytesPerSecond <= 0 {
		settings.BytesPerSecond = defaultBytesPerSecond
	}
	s := &Store{
		settings:  settings,
		mux:       http.NewServeMux(),
		zeros:     make([]byte, chunkSize),
		completed: make(map[string]int),
	}
	s.mux.HandleFunc("GET /weights/{model}", s.serveModel)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Downloads returns the number of completed downloads of a model.
func (s *Store) Downloads(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed[model]
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
	if !s.beginDownload() {
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "rate_limited", "too many downloads at one time")
		return
	}
	defer s.endDownload()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	for remaining := size; remaining > 0; {
		n := min(remaining, chunkSize)
		if !standin.Sleep(r.Context(), s.reserve(n)) {
			return
		}
		if _, err := w.Write(s.zeros[:n]); err != nil {
			return
		}
		remaining -= n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed[model]++
}

// beginDownload counts a download as active. It returns false if MaxDownloads is
// reached.
func (s *Store) beginDownload() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.MaxDownloads > 0 && s.downloads >= s.settings.MaxDownloads {
		return false
	}
	s.downloads++
	return true
}

func (s *Store) endDownload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downloads--
}

// reserve reserves bandwidth for n bytes and returns the time until they will
// have been sent.
func (s *Store) reserve(n int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	s.nextFree = s.nextFree.Add(time.Duration(n * int64(time.Second) / s.settings.BytesPerSecond))
	return s.nextFree.Sub(now)
}
