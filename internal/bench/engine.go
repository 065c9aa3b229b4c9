package bench

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// engine emulates a model engine: continuous batching with a limited number of
// slots, chunked prefill, a prefix cache in limited memory, priorities and cancel.
type engine struct {
	id       structs.ReplicaID
	sim      *simulation
	settings EngineSettings
	cache    *engineCache
	queue    []*engineCall
	running  []*engineCall
	stepping bool
	// epoch changes when the engine dies, so that the end of an older step is ignored.
	epoch int
	dead  bool
	// busy is the time spent in steps.
	busy time.Duration
}

// engineCall is one call at an engine.
type engineCall struct {
	program      uint64
	prefix       uint64
	prefixTokens int64
	prompt       int64
	output       int64
	// priority orders the engine's queue, the highest first.
	priority int
	// admitted is called when the call enters the batch, with the cached prompt tokens.
	admitted func(cached int64)
	// done is called at the last token.
	done func(engineResult)

	submitted, first time.Duration
	cached           int64
	// computed counts prompt tokens of this call computed or found in the cache.
	computed  int64
	generated int64
	// step is how many prompt tokens the current step computes.
	step      int64
	cancelled bool
}

// engineResult is what an engine says at the end of a call.
type engineResult struct {
	cached            int64
	firstToken, total time.Duration
}

func newEngine(sim *simulation, id structs.ReplicaID, settings EngineSettings, evicted func(uint64)) *engine {
	return &engine{id: id, sim: sim, settings: settings, cache: newEngineCache(settings.CacheTokens, evicted)}
}

// submit queues a call.
func (e *engine) submit(call *engineCall) {
	call.submitted = e.sim.now
	index, _ := slices.BinarySearchFunc(e.queue, call, func(queued, call *engineCall) int {
		if queued.priority >= call.priority {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, index, call)
	e.step()
}

// cancel ends a call whose caller is gone. What was computed stays in the cache.
func (e *engine) cancel(call *engineCall) {
	if index := slices.Index(e.queue, call); index >= 0 {
		e.queue = slices.Delete(e.queue, index, index+1)
		return
	}
	call.cancelled = true
}

// kill ends the engine with all its calls and its cache, and returns the calls.
func (e *engine) kill() []*engineCall {
	calls := append(slices.Clone(e.running), e.queue...)
	e.running, e.queue = nil, nil
	e.dead = true
	e.stepping = false
	e.epoch++
	return calls
}

// restart starts a killed engine with an empty cache.
func (e *engine) restart() {
	e.dead = false
	e.cache = newEngineCache(e.settings.CacheTokens, e.cache.evicted)
}

// step begins the next batch step if there is work.
func (e *engine) step() {
	if e.stepping || e.dead {
		return
	}
	e.dropCancelled()
	e.admit()
	if len(e.running) == 0 {
		return
	}
	duration := e.plan()
	e.stepping = true
	e.busy += duration
	epoch := e.epoch
	e.sim.after(duration, func() {
		if e.epoch == epoch {
			e.stepping = false
			e.finishStep()
			e.step()
		}
	})
}

// admit moves calls from the queue into the batch.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.settings.Slots {
		call := e.queue[0]
		cached := e.cache.cached(call)
		if !e.cache.reserve(call) {
			return
		}
		e.queue = e.queue[1:]
		// The last prompt token is always computed, since it yields the first token.
		call.cached = min(cached, call.prompt-1)
		call.computed = call.cached
		e.running = append(e.running, call)
		call.admitted(call.cached)
	}
}

// plan shares the step's prompt tokens among the calls in prefill, in order of
// admission, and returns the duration of the step.
func (e *engine) plan() time.Duration {
	duration := e.settings.StepBase
	budget := e.settings.Chunk
	for _, call := range e.running {
		if call.computed == call.prompt {
			context := time.Duration(call.prompt + call.generated)
			duration += e.settings.StepPerSequence + context*e.settings.StepPerContext
			continue
		}
		call.step = min(budget, call.prompt-call.computed)
		budget -= call.step
		duration += time.Duration(call.step) * e.settings.PrefillPerToken
	}
	return duration
}

// finishStep credits the step's tokens and ends the calls that are complete.
func (e *engine) finishStep() {
	var finished []*engineCall
	kept := e.running[:0]
	for _, call := range e.running {
		e.advance(call)
		if call.generated < call.output || call.cancelled {
			kept = append(kept, call)
			continue
		}
		finished = append(finished, call)
	}
	clear(e.running[len(kept):])
	e.running = kept
	for _, call := range finished {
		e.cache.unpin(call, call.prompt+call.generated)
		call.done(engineResult{cached: call.cached, firstToken: call.first - call.submitted, total: e.sim.now - call.submitted})
	}
}

// advance credits one step to a call. The step that completes the prompt yields
// the first token.
func (e *engine) advance(call *engineCall) {
	if call.computed < call.prompt {
		call.computed += call.step
		call.step = 0
		if call.computed < call.prompt {
			return
		}
		call.first = e.sim.now
	}
	call.generated++
}

// dropCancelled removes cancelled calls between steps.
func (e *engine) dropCancelled() {
	e.running = slices.DeleteFunc(e.running, func(call *engineCall) bool {
		if call.cancelled {
			e.cache.unpin(call, call.computed+call.generated)
		}
		return call.cancelled
	})
}
