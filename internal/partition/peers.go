package partition

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

const (
	// maxSenders is the maximum number of concurrent Replicate calls to one host. The
	// limit applies per host, so that an unresponsive host does not delay the others.
	maxSenders = 4
	// maxCallBytes limits the total size of the operations in one Replicate call.
	maxCallBytes = 4 << 20
)

// peers sends operations to the other hosts. Items that are queued for a host while
// calls to it are in flight are sent together in the next call.
type peers struct {
	manager *Manager
	mu      sync.Mutex
	queues  map[string]*peerQueue
}

// peerQueue holds the items that are waiting to be sent to one host.
type peerQueue struct {
	host    fleet.Host
	waiting []queuedItem
	// senders is the number of goroutines that drain the queue, at most maxSenders.
	senders int
}

// queuedItem is an item together with the function that receives its result.
type queuedItem struct {
	sender Sender
	item   ReplicateItem
	done   func(Code)
}

func newPeers(m *Manager) *peers {
	return &peers{manager: m, queues: make(map[string]*peerQueue)}
}

// replicate queues an item for a host. done is called once, from another goroutine.
func (p *peers) replicate(host fleet.Host, sender Sender, item ReplicateItem, done func(Code)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queues[host.ControlAddress]
	if queue == nil {
		queue = &peerQueue{host: host}
		p.queues[host.ControlAddress] = queue
	}
	queue.waiting = append(queue.waiting, queuedItem{sender, item, done})
	if queue.senders >= maxSenders {
		return
	}
	queue.senders++
	if !p.manager.tasks.start(func() { p.drain(queue) }) {
		queue.senders--
		p.failLocked(queue)
	}
}

// failLocked completes all queued items with CodeNoReply when the manager is shutting
// down.
func (p *peers) failLocked(queue *peerQueue) {
	waiting := queue.waiting
	queue.waiting = nil
	go func() {
		for _, q := range waiting {
			q.done(CodeNoReply)
		}
	}()
}

// drain sends calls until the queue is empty.
func (p *peers) drain(queue *peerQueue) {
	for {
		items := p.dequeue(queue)
		if len(items) == 0 {
			return
		}
		request := ReplicateRequest{From: items[0].sender}
		for _, q := range items {
			request.Items = append(request.Items, q.item)
		}
		codes := p.manager.callCodes(p.manager.ctx, queue.host, "Partition.Replicate", &request, len(items), callTimeout)
		for i, q := range items {
			q.done(codes[i])
		}
	}
}

// dequeue removes the next items that share a sender and view. If there are none, the
// calling sender ends; the last sender also removes the queue.
func (p *peers) dequeue(queue *peerQueue) []queuedItem {
	p.mu.Lock()
	defer p.mu.Unlock()
	size, count := 0, 0
	for count < len(queue.waiting) && queue.waiting[count].sender == queue.waiting[0].sender {
		for _, op := range queue.waiting[count].item.Ops {
			size += len(op)
		}
		if count > 0 && size > maxCallBytes {
			break
		}
		count++
	}
	items := queue.waiting[:count:count]
	queue.waiting = queue.waiting[count:]
	if count == 0 {
		queue.senders--
		if queue.senders == 0 {
			delete(p.queues, queue.host.ControlAddress)
		}
	}
	return items
}

// callCodes makes a call whose reply has one code per item. All codes are CodeNoReply
// if the call fails.
func (m *Manager) callCodes(ctx context.Context, host fleet.Host, method string, request any, items int, timeout time.Duration) []Code {
	var reply CodesReply
	err := m.call(ctx, host, method, request, &reply, timeout)
	if err == nil && len(reply.Codes) == items {
		return reply.Codes
	}
	codes := make([]Code, items)
	for i := range codes {
		codes[i] = CodeNoReply
	}
	return codes
}

// call calls a method of a host with a timeout.
func (m *Manager) call(ctx context.Context, host fleet.Host, method string, request, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.config.Caller.Call(ctx, host.ControlAddress, method, request, reply)
}

// verifyLocked checks a sender against the receiver's current view.
func (m *Manager) verifyLocked(from Sender) Code {
	table := m.tableLocked()
	switch number := m.numberLocked(); {
	case table == nil || number < from.View:
		return CodeBehind
	case number > from.View:
		return CodeStaleView
	case m.incarnation == 0 || !table.View().Has(from.Host, from.Incarnation):
		return CodeNotOwner
	}
	return CodeOK
}

// ownedBy reports whether the host owns the partition in this table.
func (t *Table) ownedBy(id ID, host structs.HostID) bool {
	owner, found := t.Owner(id)
	return found && owner.ID == host
}
