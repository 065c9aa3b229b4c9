package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"cowslipgw/internal/standin"
)

// Engine is one engine replica. It is an http.Handler and safe for concurrent use.
type Engine struct {
	standin.Recorder
	settings Settings
	mux      *http.ServeMux
	load     *standin.LoadReport
	// ctx is cancelled when the engine is closed. wg waits for its goroutines.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	queue         queue
	batch         []*sequence
	cache         *cache
	calls         map[string]*sequence
	models        []string
	loading       map[string]bool
	role          string
	leaving       bool
	faults        Faults
	fences        map[string]uint64
	orders        []Order
	arrivals      uint64
	decodedTokens int64
	wake          chan struct{}
}

// New starts an Engine, which runs until Close is called.
func New(settings Settings) *Engine {
	settings = settings.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		settings: settings,
		mux:      http.NewServeMux(),
		ctx:      ctx,
		cancel:   cancel,
		cache:    newCache(settings.CacheTokens, &cacheEventLog{lag: settings.CacheEventLag, gap: settings.CacheEventGap}),
		calls:    make(map[string]*sequence),
		models:   slices.Clone(settings.Models),
		loading:  make(map[string]bool),
		fences:   make(map[string]uint64),
		wake:     make(chan struct{}),
	}
	e.load = standin.NewLoadReport(settings.LoadLag, e.measure)
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("GET /v1/models", e.serveModels)
	e.mux.Handle("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("GET /v1/kv/{program}", e.serveExport)
	e.mux.HandleFunc("PUT /v1/kv/{program}", e.serveImport)
	e.mux.HandleFunc("POST /faults", e.serveFaults)
	e.wg.Go(func() { e.run(ctx) })
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close aborts all calls and waits for the engine's goroutines to end.
func (e *Engine) Close() {
	e.cancel()
	e.wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.calls {
		if s.expiryTimer != nil {
			s.expiryTimer.Stop()
		}
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// SetLeaving sets the Leaving flag of the load report.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Role returns the role set by the last role order.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// DecodedTokens returns the total number of tokens that the engine has decoded.
func (e *Engine) DecodedTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decodedTokens
}

// Load returns the current load, ignoring the lag.
func (e *Engine) Load() standin.Load { return e.measure() }

func (e *Engine) measure() standin.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return standin.Load{
		Running:     len(e.batch),
		Queued:      len(e.queue),
		Slots:       e.settings.Slots,
		CacheTokens: e.cache.used,
		CacheLimit:  e.cache.limit,
		Programs:    e.cache.programs(),
		Models:      slices.Clone(e.models),
		Leaving:     e.leaving,
	}
}

// takeFaults returns the faults that apply to the next call and counts down
// Faults.Times.
func (e *Engine) takeFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults := e.faults
	if e.faults.Times > 0 {
		e.faults.Times--
		if e.faults.Times == 0 {
			e.faults = Faults{SlowFactor: faults.SlowFactor}
		}
	}
	return faults
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
