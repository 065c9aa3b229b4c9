package engine

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"cowslipgw/internal/standin"
)

// step is the work of one iteration of continuous batching.
type step struct {
	prefill  map[*sequence]int64
	decode   []*sequence
	duration time.Duration
}

// run executes steps until the engine is closed, and waits while there is no work.
func (e *Engine) run(ctx context.Context) {
	for {
		e.mu.Lock()
		e.admitLocked()
		next := e.planLocked()
		wake := e.wake
		e.mu.Unlock()
		if next.duration == 0 {
			select {
			case <-wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !standin.Sleep(ctx, next.duration) {
			return
		}
		e.mu.Lock()
		e.applyLocked(next)
		e.mu.Unlock()
		e.load.Refresh()
	}
}

// admitLocked moves queued calls into free slots.
func (e *Engine) admitLocked() {
	for len(e.queue) > 0 && len(e.batch) < e.settings.Slots {
		s := heap.Pop(&e.queue).(*sequence)
		// The last prompt token is always computed, even if the whole prompt is cached.
		s.cachedTokens = min(e.cache.lookup(s.chain), s.promptTokens-1)
		s.prefillRemaining = s.promptTokens - s.cachedTokens
		s.state = running
		e.batch = append(e.batch, s)
	}
}

// planLocked returns the next step. Its duration is 0 if there is no work.
func (e *Engine) planLocked() step {
	next := step{prefill: make(map[*sequence]int64)}
	if len(e.batch) == 0 {
		return next
	}
	budget := e.settings.PrefillChunk
	for _, s := range e.batch {
		if s.prefillRemaining == 0 {
			next.decode = append(next.decode, s)
			continue
		}
		if n := min(budget, s.prefillRemaining); n > 0 {
			next.prefill[s] = n
			budget -= n
		}
	}
	prefillTokens := time.Duration(e.settings.PrefillChunk - budget)
	next.duration = e.settings.StepBase +
		e.settings.StepPerCall*time.Duration(len(next.decode)) +
		e.settings.PrefillPerToken*prefillTokens
	if e.faults.SlowFactor > 0 {
		next.duration = time.Duration(float64(next.duration) * e.faults.SlowFactor)
	}
	return next
}

// applyLocked applies the results of a completed step. It skips calls that were
// cancelled in the meantime.
func (e *Engine) applyLocked(completed step) {
	for _, s := range slices.Clone(e.batch) {
		if n := completed.prefill[s]; n > 0 {
			s.prefillRemaining -= n
			if s.prefillRemaining == 0 {
				e.cache.store(s.chain, s.program)
				e.emitLocked(s)
			}
		}
	}
	for _, s := range completed.decode {
		if s.state == running {
			e.emitLocked(s)
		}
	}
}

// emitLocked generates the next token of the answer and finishes the call after
// the last one.
func (e *Engine) emitLocked(s *sequence) {
	if s.generated < len(s.answer) {
		s.generated++
		e.decodedTokens++
	}
	if s.generated == len(s.answer) {
		s.state = finished
		e.cache.store(append(slices.Clone(s.chain), s.answerLink), s.program)
		e.removeLocked(s)
	}
	s.notify()
}

// cancelLocked cancels a call that has not ended.
func (e *Engine) cancelLocked(s *sequence) {
	if s.ended() {
		return
	}
	s.state = cancelled
	e.removeLocked(s)
	s.notify()
	e.wakeLocked()
}

// removeLocked removes a call from the batch and the queue.
func (e *Engine) removeLocked(s *sequence) {
	e.queue.remove(s)
	if at := slices.Index(e.batch, s); at >= 0 {
		e.batch = slices.Delete(e.batch, at, at+1)
	}
}

// wakeLocked wakes run if it is idle.
func (e *Engine) wakeLocked() {
	close(e.wake)
	e.wake = make(chan struct{})
}
