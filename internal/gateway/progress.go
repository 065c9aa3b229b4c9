package gateway

import (
	"slices"
	"sync"
	"time"
)

// Kinds of operations.
const (
	callerRequest  = "request"
	relayedRequest = "request of another host"
	settlement     = "settlement"
)

// operation is something that must end before the process does.
type operation struct {
	progress *progress
	kind     string
	start    time.Time
	// id is the ID of the request; empty before it is known.
	id string
}

// progress holds the operations in progress. Its methods are safe for concurrent use.
type progress struct {
	mu         sync.Mutex
	operations map[*operation]struct{}
}

// begin adds an operation, which lasts until its method end is called.
func (p *progress) begin(kind, id string) *operation {
	o := &operation{progress: p, kind: kind, start: time.Now(), id: id}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.operations == nil {
		p.operations = make(map[*operation]struct{})
	}
	p.operations[o] = struct{}{}
	return o
}

// identify sets the ID of the request.
func (o *operation) identify(id string) {
	o.progress.mu.Lock()
	defer o.progress.mu.Unlock()
	o.id = id
}

// end removes the operation.
func (o *operation) end() {
	o.progress.mu.Lock()
	defer o.progress.mu.Unlock()
	delete(o.progress.operations, o)
}

// count returns the number of operations in progress.
func (p *progress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.operations)
}

// list returns the operations in progress, the oldest first.
func (p *progress) list() []operation {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]operation, 0, len(p.operations))
	for o := range p.operations {
		list = append(list, *o)
	}
	slices.SortFunc(list, func(a, b operation) int { return a.start.Compare(b.start) })
	return list
}
