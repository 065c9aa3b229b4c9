package engine

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"cowslipgw/internal/standin"
)

// step is the work of one iteration of the batch.
type step struct {
	prefill map[*sequence]int64
	decode  []*sequence
	takes   time.Duration
}

// run iterates the batch until the engine is closed.
func (e *Engine) run(ctx context.Context) {
	for {
		e.mu.Lock()
		e.admitLocked()
		next := e.planLocked()
		wake := e.wake
		e.mu.Unlock()
		if next.takes == 0 {
			select {
			case <-wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !standin.Sleep(ctx, next.takes) {
			return
		}
		e.mu.Lock()
		e.finishLocked(next)
		e.mu.Unlock()
		e.load.Refresh()
	}
}

// admitLocked moves waiting calls into free slots.
func (e *Engine) admitLocked() {
	for len(e.queue) > 0 && len(e.batch) < e.settings.Slots {
		s := heap.Pop(&e.queue).(*sequence)
		// The last token of a prompt is computed in any case.
		s.cached = min(e.cache.lookup(s.chain), s.prompt-1)
		s.prefillLeft = s.prompt - s.cached
		s.state = running
		e.batch = append(e.batch, s)
	}
}

// planLocked returns the next step; it takes no time when there is no work.
func (e *Engine) planLocked() step {
	next := step{prefill: make(map[*sequence]int64)}
	if len(e.batch) == 0 {
		return next
	}
	left := e.settings.PrefillChunk
	for _, s := range e.batch {
		if s.prefillLeft == 0 {
			next.decode = append(next.decode, s)
			continue
		}
		if n := min(left, s.prefillLeft); n > 0 {
			next.prefill[s] = n
			left -= n
		}
	}
	prefilled := time.Duration(e.settings.PrefillChunk - left)
	next.takes = e.settings.StepBase +
		e.settings.StepPerCall*time.Duration(len(next.decode)) +
		e.settings.PrefillPerToken*prefilled
	if e.faults.SlowFactor > 0 {
		next.takes = time.Duration(float64(next.takes) * e.faults.SlowFactor)
	}
	return next
}

// finishLocked applies a step. Calls that were cancelled meanwhile are passed over.
func (e *Engine) finishLocked(done step) {
	for _, s := range slices.Clone(e.batch) {
		if n := done.prefill[s]; n > 0 {
			s.prefillLeft -= n
			if s.prefillLeft == 0 {
				e.cache.store(s.chain, s.program)
				e.emitLocked(s)
			}
		}
	}
	for _, s := range done.decode {
		if s.state == running {
			e.emitLocked(s)
		}
	}
}

// emitLocked adds a token to the answer and ends the call after the last one.
func (e *Engine) emitLocked(s *sequence) {
	if s.sent < len(s.answer) {
		s.sent++
		e.decoded++
	}
	if s.sent == len(s.answer) {
		s.state = finished
		e.cache.store(append(slices.Clone(s.chain), s.last), s.program)
		e.leaveLocked(s)
	}
	s.notify()
}

// cancelLocked ends a call without an answer.
func (e *Engine) cancelLocked(s *sequence) {
	if s.ended() {
		return
	}
	s.state = cancelled
	e.leaveLocked(s)
	s.notify()
	e.wakeLocked()
}

// leaveLocked takes a call out of the batch and the queue.
func (e *Engine) leaveLocked(s *sequence) {
	e.queue.remove(s)
	if at := slices.Index(e.batch, s); at >= 0 {
		e.batch = slices.Delete(e.batch, at, at+1)
	}
}

// wakeLocked starts an idle engine.
func (e *Engine) wakeLocked() {
	close(e.wake)
	e.wake = make(chan struct{})
}
