package gateway

import (
	"errors"
	"io"
	"sync"
)

const (
	// smallBody is the size up to which a body or a history needs no reservation, in bytes.
	smallBody = 32 << 10
	// defaultMemory is the limit of a memoryBudget if none is set, in bytes.
	defaultMemory = 64 << 20
	// accountShare is the divisor of the limit that gives the part that several requests of one
	// client account may use.
	accountShare = 2
)

// memoryBudget limits the total size of the long bodies and histories of the requests in
// progress. Several requests of one client account may use only a part of it; a single one may
// use all. It is safe for concurrent use.
type memoryBudget struct {
	mu       sync.Mutex
	limit    int64
	used     int64
	accounts map[string]int64
}

func newMemoryBudget(limit int64) *memoryBudget {
	if limit <= 0 {
		limit = defaultMemory
	}
	return &memoryBudget{limit: limit, accounts: make(map[string]int64)}
}

// reserve reserves bytes for a request of an account that has reserved own bytes already. It
// reports whether there is room.
func (m *memoryBudget) reserve(account string, own, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ofAccount := m.accounts[account]
	if m.used+bytes > m.limit || (ofAccount > own && ofAccount+bytes > m.limit/accountShare) {
		return false
	}
	m.used += bytes
	m.accounts[account] += bytes
	return true
}

// release returns bytes that were reserved for an account.
func (m *memoryBudget) release(account string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
	if m.accounts[account] -= bytes; m.accounts[account] <= 0 {
		delete(m.accounts, account)
	}
}

// reservation is what one request has reserved of a memoryBudget.
type reservation struct {
	budget  *memoryBudget
	account string
	bytes   int64
}

// grow reserves memory for a further part of a request. Small parts need none.
func (r *reservation) grow(bytes int64) bool {
	if bytes <= smallBody {
		return true
	}
	if !r.budget.reserve(r.account, r.bytes, bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// release returns all that was reserved.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.budget.release(r.account, r.bytes)
		r.bytes = 0
	}
}

// errNoMemory is returned if there is no room for a body.
var errNoMemory = errors.New("no memory for the body")

// readBody reads a body of the given length; -1 if it is not known. It fails with errNoMemory as
// soon as the body does not fit into the reservation, for a body of a known length before it is
// read.
func readBody(body io.Reader, length int64, r *reservation) ([]byte, error) {
	if length >= 0 {
		if !r.grow(length) {
			return nil, errNoMemory
		}
		content := make([]byte, length)
		if _, err := io.ReadFull(body, content); err != nil {
			return nil, err
		}
		// The body ends here; this lets the server notice.
		_, err := io.Copy(io.Discard, body)
		return content, err
	}
	content := make([]byte, 0, 512)
	for {
		if len(content) == cap(content) {
			// Both buffers are in memory while the content is copied.
			size := int64(2 * cap(content))
			if !r.grow(size) {
				return nil, errNoMemory
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case err == io.EOF:
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}
