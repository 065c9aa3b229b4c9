package bench

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// engine emulates a model engine: continuous batching with a limited number of slots,
// chunked prefill, a memory-limited prefix cache, priorities and cancellation.
type engine struct {
	id       structs.ReplicaID
	sim      *simulation
	settings EngineSettings
	cache    *engineCache
	queue    []*engineCall
	running  []*engineCall
	stepping bool
	// epoch changes when the engine is killed, so that the end of an earlier step is
	// ignored.
	epoch int
	dead  bool
	// busy is the total duration of all steps.
	busy time.Duration
}

// engineCall is one call at an engine.
type engineCall struct {
	program      uint64
	prefix       uint64
	prefixTokens int64
	prompt       int64
	output       int64
	// priority orders the queue, the highest first.
	priority int
	// onAdmit is called when the call joins the batch, with the number of cached
	// prompt tokens.
	onAdmit func(cached int64)
	// onDone is called when the last token has been generated.
	onDone func(engineResult)

	submittedAt, firstTokenAt time.Duration
	cached                    int64
	// prefilled counts the prompt tokens computed so far, including those found in
	// the cache.
	prefilled int64
	generated int64
	// stepTokens is the number of prompt tokens computed in the current step.
	stepTokens int64
	cancelled  bool
}

// engineResult is what the engine reports at the end of a call.
type engineResult struct {
	cached            int64
	firstToken, total time.Duration
}

func newEngine(sim *simulation, id structs.ReplicaID, settings EngineSettings, evicted func(uint64)) *engine {
	return &engine{id: id, sim: sim, settings: settings, cache: newEngineCache(settings.CacheTokens, evicted)}
}

// submit queues a call behind all calls of the same or a higher priority.
func (e *engine) submit(call *engineCall) {
	call.submittedAt = e.sim.now
	index, _ := slices.BinarySearchFunc(e.queue, call, func(queued, call *engineCall) int {
		if queued.priority >= call.priority {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, index, call)
	e.step()
}

// cancel ends a call whose caller has gone. Tokens computed so far stay in the cache.
func (e *engine) cancel(call *engineCall) {
	if index := slices.Index(e.queue, call); index >= 0 {
		e.queue = slices.Delete(e.queue, index, index+1)
		return
	}
	call.cancelled = true
}

// kill stops the engine, discards its calls and its cache, and returns the calls.
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
	e.cache = newEngineCache(e.settings.CacheTokens, e.cache.onEvict)
}

// step runs the next batch step if there is work.
func (e *engine) step() {
	if e.stepping || e.dead {
		return
	}
	e.dropCancelled()
	e.admit()
	if len(e.running) == 0 {
		return
	}
	duration := e.planStep()
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

// admit moves calls from the queue into the batch, in order, while slots and memory
// last.
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
		call.prefilled = call.cached
		e.running = append(e.running, call)
		call.onAdmit(call.cached)
	}
}

// planStep distributes the step's prefill budget among the calls in prefill, in order
// of admission, and returns the duration of the step.
func (e *engine) planStep() time.Duration {
	duration := e.settings.StepBase
	budget := e.settings.PrefillChunk
	for _, call := range e.running {
		if call.prefilled == call.prompt {
			context := time.Duration(call.prompt + call.generated)
			duration += e.settings.StepPerSequence + context*e.settings.StepPerContextToken
			continue
		}
		call.stepTokens = min(budget, call.prompt-call.prefilled)
		budget -= call.stepTokens
		duration += time.Duration(call.stepTokens) * e.settings.PrefillPerToken
	}
	return duration
}

// finishStep credits the step's tokens and completes the calls that have all their
// output.
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
		call.onDone(engineResult{cached: call.cached, firstToken: call.firstTokenAt - call.submittedAt, total: e.sim.now - call.submittedAt})
	}
}

// advance credits one step to a call. The step that completes the prompt yields the
// first token.
func (e *engine) advance(call *engineCall) {
	if call.prefilled < call.prompt {
		call.prefilled += call.stepTokens
		call.stepTokens = 0
		if call.prefilled < call.prompt {
			return
		}
		call.firstTokenAt = e.sim.now
	}
	call.generated++
}

// dropCancelled removes cancelled calls from the batch between steps.
func (e *engine) dropCancelled() {
	e.running = slices.DeleteFunc(e.running, func(call *engineCall) bool {
		if call.cancelled {
			e.cache.unpin(call, call.prefilled+call.generated)
		}
		return call.cancelled
	})
}
