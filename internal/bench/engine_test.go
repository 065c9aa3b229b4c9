package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// engineRun runs calls on one simulated engine.
type engineRun struct {
	sim    simulation
	engine *engine
	// evicted lists the evicted programs in order.
	evicted []uint64
}

func newEngineRun(settings EngineSettings) *engineRun {
	r := &engineRun{}
	r.engine = newEngine(&r.sim, "r", settings, func(p uint64) { r.evicted = append(r.evicted, p) })
	return r
}

func (r *engineRun) submit(call *engineCall) *engineResult {
	result := &engineResult{}
	call.onAdmit = func(int64) {}
	call.onDone = func(got engineResult) { *result = got }
	r.sim.after(0, func() { r.engine.submit(call) })
	return result
}

func (r *engineRun) finish() {
	r.sim.runUntil(time.Hour, func() bool { return false })
}

// TestEngineIdleLatency guards against an emulator whose steps do not add up to
// idleLatency, the denominator of slowdown.
func TestEngineIdleLatency(t *testing.T) {
	is := is.New(t)
	r := newEngineRun(defaultEngine())
	got := r.submit(&engineCall{program: 1, prompt: 1300, output: 40})
	r.finish()
	first, total := defaultEngine().idleLatency(1300, 1300, 40)
	is.Equal(got.firstToken, first)
	is.Equal(got.total, total)
	is.Equal(r.engine.busy, total)
}

// TestEngineCache guards against a second turn that misses the cache of the first, or
// that hits more tokens than were computed.
func TestEngineCache(t *testing.T) {
	is := is.New(t)
	r := newEngineRun(defaultEngine())
	r.submit(&engineCall{program: 1, prefix: 9, prefixTokens: 100, prompt: 300, output: 20})
	r.finish()
	second := r.submit(&engineCall{program: 1, prefix: 9, prefixTokens: 100, prompt: 350, output: 1})
	other := r.submit(&engineCall{program: 2, prefix: 9, prefixTokens: 100, prompt: 500, output: 1})
	r.finish()
	is.Equal(second.cached, int64(320)) // prompt and completion of the first turn
	is.Equal(other.cached, int64(100))  // the shared prefix only
}

// TestEngineEviction guards against memory use above the limit and against eviction
// of the most recently used entry.
func TestEngineEviction(t *testing.T) {
	is := is.New(t)
	settings := defaultEngine()
	settings.CacheTokens = 1000
	r := newEngineRun(settings)
	for program := uint64(1); program <= 3; program++ {
		r.submit(&engineCall{program: program, prompt: 390, output: 10})
		r.finish()
		is.True(r.engine.cache.used <= settings.CacheTokens)
	}
	is.Equal(r.evicted, []uint64{1})
	is.Equal(r.engine.cache.used, int64(800))
}

// TestEngineSlots guards against a batch larger than the slots and against a queue
// that ignores priorities.
func TestEngineSlots(t *testing.T) {
	is := is.New(t)
	settings := defaultEngine()
	settings.Slots = 1
	r := newEngineRun(settings)
	r.submit(&engineCall{program: 1, prompt: 10, output: 10})
	low := r.submit(&engineCall{program: 2, prompt: 10, output: 10})
	high := r.submit(&engineCall{program: 3, prompt: 10, output: 10, priority: 1})
	r.finish()
	is.True(high.total < low.total)
	is.True(low.firstToken > high.total)
}

// TestEngineCancel guards against a cancelled call that keeps its slot or its pins.
func TestEngineCancel(t *testing.T) {
	is := is.New(t)
	r := newEngineRun(defaultEngine())
	call := &engineCall{program: 1, prompt: 10, output: 1000}
	r.submit(call)
	r.sim.after(time.Second, func() { r.engine.cancel(call) })
	r.finish()
	is.True(r.sim.now < 2*time.Second)
	is.Equal(len(r.engine.running), 0)
	r.engine.cache.release(1)
	is.Equal(r.engine.cache.used, int64(0))
}
