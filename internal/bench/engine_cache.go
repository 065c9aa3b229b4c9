package bench

import "container/list"

// engineCache is the prefix cache of an engine: least recently used entries go
// first when memory is short. A shared prefix is an entry of its own; a program's
// entry holds what follows the prefix.
type engineCache struct {
	limit   int64
	used    int64
	entries map[cacheKey]*list.Element
	// order has the least recently used entry first.
	order   *list.List
	evicted func(program uint64)
}

// cacheKey names an entry: a program or a shared prefix, the other being 0.
type cacheKey struct {
	program, prefix uint64
}

// cacheEntry is what is held for a key. Pinned entries belong to running calls.
type cacheEntry struct {
	key    cacheKey
	tokens int64
	pins   int
}

func newEngineCache(limit int64, evicted func(uint64)) *engineCache {
	return &engineCache{limit: limit, entries: make(map[cacheKey]*list.Element), order: list.New(), evicted: evicted}
}

// tokens returns what is held for a key.
func (c *engineCache) tokens(key cacheKey) int64 {
	element, ok := c.entries[key]
	if !ok {
		return 0
	}
	return element.Value.(*cacheEntry).tokens
}

// cached returns how many tokens of a call's prompt are held. Without its prefix a
// program's entry is of no use.
func (c *engineCache) cached(call *engineCall) int64 {
	prefix := c.tokens(cacheKey{prefix: call.prefix})
	if prefix < call.prefixTokens {
		return 0
	}
	return min(call.prompt, prefix+c.tokens(cacheKey{program: call.program}))
}

// reserve pins the entries of a call and makes room for its whole context; false
// when running calls take all the memory.
func (c *engineCache) reserve(call *engineCall) bool {
	prefixKey := cacheKey{prefix: call.prefix}
	programKey := cacheKey{program: call.program}
	own := call.prompt + call.output - call.prefixTokens
	need := max(0, call.prefixTokens-c.tokens(prefixKey)) + max(0, own-c.tokens(programKey))
	c.pin(prefixKey, 1)
	c.pin(programKey, 1)
	if !c.makeRoom(need) {
		c.pin(prefixKey, -1)
		c.pin(programKey, -1)
		return false
	}
	c.grow(prefixKey, call.prefixTokens)
	c.grow(programKey, own)
	return true
}

// unpin ends the use by a call, of which only the first held tokens were computed.
func (c *engineCache) unpin(call *engineCall, held int64) {
	c.pin(cacheKey{prefix: call.prefix}, -1)
	programKey := cacheKey{program: call.program}
	c.pin(programKey, -1)
	entry := c.entries[programKey].Value.(*cacheEntry)
	held = max(0, held-call.prefixTokens)
	c.used -= entry.tokens - min(entry.tokens, held)
	entry.tokens = min(entry.tokens, held)
}

// pin changes the pins of an entry, which is made if needed, and marks it as used.
func (c *engineCache) pin(key cacheKey, delta int) {
	element, ok := c.entries[key]
	if !ok {
		element = c.order.PushBack(&cacheEntry{key: key})
		c.entries[key] = element
	}
	element.Value.(*cacheEntry).pins += delta
	c.order.MoveToBack(element)
}

// grow raises an entry to a number of tokens.
func (c *engineCache) grow(key cacheKey, tokens int64) {
	entry := c.entries[key].Value.(*cacheEntry)
	if tokens > entry.tokens {
		c.used += tokens - entry.tokens
		entry.tokens = tokens
	}
}

// makeRoom drops entries until so many tokens fit; false if they cannot.
func (c *engineCache) makeRoom(need int64) bool {
	element := c.order.Front()
	for c.used+need > c.limit && element != nil {
		next := element.Next()
		entry := element.Value.(*cacheEntry)
		if entry.pins == 0 {
			c.drop(element, entry)
		}
		element = next
	}
	return c.used+need <= c.limit
}

func (c *engineCache) drop(element *list.Element, entry *cacheEntry) {
	c.used -= entry.tokens
	c.order.Remove(element)
	delete(c.entries, entry.key)
	if entry.key.program != 0 {
		c.evicted(entry.key.program)
	}
}

// release drops a program that has ended.
func (c *engineCache) release(program uint64) {
	element, ok := c.entries[cacheKey{program: program}]
	if !ok {
		return
	}
	entry := element.Value.(*cacheEntry)
	if entry.pins == 0 {
		c.used -= entry.tokens
		c.order.Remove(element)
		delete(c.entries, entry.key)
	}
}

// programs returns the programs with cache.
func (c *engineCache) programs() map[uint64]struct{} {
	programs := make(map[uint64]struct{}, len(c.entries))
	for key := range c.entries {
		if key.program != 0 {
			programs[key.program] = struct{}{}
		}
	}
	return programs
}
