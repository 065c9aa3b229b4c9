package turns

import (
	"container/list"
	"sync"
)

// contentKey identifies the contents of a turn.
type contentKey struct {
	partition int
	turn      string
}

// content is what an engine reads of a turn.
type content struct{ input, output []byte }

func (c content) size() int { return len(c.input) + len(c.output) }

// contentCache keeps the contents of turns up to a total size, and evicts those that were used
// least recently. It is safe for concurrent use. Its lock is taken while that of a partition is
// held.
type contentCache struct {
	mu      sync.Mutex
	limit   int
	size    int
	entries map[contentKey]*list.Element
	// recent holds the entries, the most recently used one first.
	recent *list.List
}

// contentEntry is an element of contentCache.recent.
type contentEntry struct {
	key     contentKey
	content content
}

func newContentCache(limit int) *contentCache {
	return &contentCache{limit: limit, entries: make(map[contentKey]*list.Element), recent: list.New()}
}

// put adds or replaces an entry.
func (c *contentCache) put(key contentKey, value content) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(key)
	if value.size() == 0 {
		return
	}
	c.entries[key] = c.recent.PushFront(&contentEntry{key, value})
	c.size += value.size()
	for c.size > c.limit {
		c.removeLocked(c.recent.Back().Value.(*contentEntry).key)
	}
}

// get returns the contents of a turn, or false if they are not in the cache.
func (c *contentCache) get(key contentKey) (content, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.entries[key]
	if element == nil {
		return content{}, false
	}
	c.recent.MoveToFront(element)
	return element.Value.(*contentEntry).content, true
}

// remove removes an entry if it is present.
func (c *contentCache) remove(key contentKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(key)
}

func (c *contentCache) removeLocked(key contentKey) {
	element := c.entries[key]
	if element == nil {
		return
	}
	c.size -= element.Value.(*contentEntry).content.size()
	c.recent.Remove(element)
	delete(c.entries, key)
}
