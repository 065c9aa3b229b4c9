package program

import (
	"slices"
	"sync"
	"time"
)

// WaitQueues queues the calls that wait at an owner, in the order in which they were
// accepted. It is not replicated: a waiting call is a connection to this owner and ends
// with it. Its methods are safe for concurrent use.
type WaitQueues struct {
	mu     sync.Mutex
	queues map[Key][]*Ticket
}

// Ticket is the position of one call in its program's queue.
type Ticket struct {
	queues *WaitQueues
	key    Key
	since  time.Time
	ready  chan struct{}
}

// NewWaitQueues returns a WaitQueues without queued calls.
func NewWaitQueues() *WaitQueues {
	return &WaitQueues{queues: make(map[Key][]*Ticket)}
}

// Enter adds a call that has been waiting since the given time to the program's queue,
// behind those that have waited longer. The caller must call Leave.
func (w *WaitQueues) Enter(key Key, since time.Time) *Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &Ticket{queues: w, key: key, since: since, ready: make(chan struct{}, 1)}
	queue := w.queues[key]
	position := len(queue)
	for position > 0 && queue[position-1].since.After(since) {
		position--
	}
	w.queues[key] = slices.Insert(queue, position, t)
	if position == 0 {
		t.signal()
	}
	return t
}

// First reports whether the ticket is at the head of its queue.
func (t *Ticket) First() bool {
	t.queues.mu.Lock()
	defer t.queues.mu.Unlock()
	queue := t.queues.queues[t.key]
	return len(queue) > 0 && queue[0] == t
}

// Ready returns a channel that receives a value when the ticket is at the head of its
// queue and the owner should decide on the call: when it reaches the head, and after
// each Wake of its root. The call must not begin before that.
func (t *Ticket) Ready() <-chan struct{} {
	return t.ready
}

// Recheck signals Ready if the ticket is at the head of its queue. The owner calls it
// when a host repeats the request for a call that kept its position.
func (t *Ticket) Recheck() {
	w := t.queues
	w.mu.Lock()
	defer w.mu.Unlock()
	if queue := w.queues[t.key]; len(queue) > 0 && queue[0] == t {
		t.signal()
	}
}

// Leave removes the ticket from its queue, after the call has begun or its caller has
// gone.
func (t *Ticket) Leave() {
	w := t.queues
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := w.queues[t.key]
	for i, other := range queue {
		if other == t {
			queue = append(queue[:i:i], queue[i+1:]...)
			break
		}
	}
	if len(queue) == 0 {
		delete(w.queues, t.key)
		return
	}
	w.queues[t.key] = queue
	queue[0].signal()
}

// Wake signals the first call of each program of the key's root, so that the owner
// decides on it again. The owner calls Wake after every operation on the root.
func (w *WaitQueues) Wake(key Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, queue := range w.queues {
		if other.Account == key.Account && other.Root == key.Root {
			queue[0].signal()
		}
	}
}

// WakeAll signals the first call of every program, so that the owner decides on it
// again. The owner calls WakeAll after DecideAbandon.
func (w *WaitQueues) WakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, queue := range w.queues {
		queue[0].signal()
	}
}

// signal makes Ready receive a value, unless one is already pending.
func (t *Ticket) signal() {
	select {
	case t.ready <- struct{}{}:
	default:
	}
}
