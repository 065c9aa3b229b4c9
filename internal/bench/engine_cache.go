package bench

import "container/list"

// engineCache is the prefix cache of an engine, with least-recently-used eviction. A
// shared prefix has its own entry; a program's entry holds the context that follows
// the prefix.
type engineCache struct {
	limit   int64
	used    int64
	entries map[cacheKey]*list.Element
	// order lists the entries, the least recently used first.
	order   *list.List
	onEvict func(program uint64)
}

// cacheKey identifies a program's entry or a shared prefix; the other field is 0.
type cacheKey struct {
	program, prefix uint64
}

// cacheEntry is a cached context. Entries in use by running calls are pinned and
// cannot be evicted.
type cacheEntry struct {
	key    cacheKey
	tokens int64
	pins   int
}

func newEngineCache(limit int64, onEvict func(uint64)) *engineCache {
	return &engineCache{limit: limit, entries: make(map[cacheKey]*list.Element), order: list.New(), onEvict: onEvict}
}

// tokens returns the number of tokens cached under a key.
func (c *engineCache) tokens(key cacheKey) int64 {
	element, ok := c.entries[key]
	if !ok {
		return 0
	}
	return element.Value.(*cacheEntry).tokens
}

// cached returns how many tokens of a call's prompt are cached. A program's entry is
// unusable without its complete prefix.
func (c *engineCache) cached(call *engineCall) int64 {
	prefix := c.tokens(cacheKey{prefix: call.prefix})
	if prefix < call.prefixTokens {
		return 0
	}
	return min(call.prompt, prefix+c.tokens(cacheKey{program: call.program}))
}

// reserve pins the entries of a call and makes room for its whole context. It reports
// whether there is enough memory that is not pinned by running calls.
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

// unpin releases the entries of a call and truncates its program's entry to the first
// computed tokens of the context.
func (c *engineCache) unpin(call *engineCall, computed int64) {
	c.pin(cacheKey{prefix: call.prefix}, -1)
	programKey := cacheKey{program: call.program}
	c.pin(programKey, -1)
	entry := c.entries[programKey].Value.(*cacheEntry)
	computed = max(0, computed-call.prefixTokens)
	c.used -= entry.tokens - min(entry.tokens, computed)
	entry.tokens = min(entry.tokens, computed)
}

// pin changes an entry's pin count by delta and marks it as recently used. It creates
// a missing entry.
func (c *engineCache) pin(key cacheKey, delta int) {
	element, ok := c.entries[key]
	if !ok {
		element = c.order.PushBack(&cacheEntry{key: key})
		c.entries[key] = element
	}
	element.Value.(*cacheEntry).pins += delta
	c.order.MoveToBack(element)
}

// grow raises the size of an entry to at least the given number of tokens.
func (c *engineCache) grow(key cacheKey, tokens int64) {
	entry := c.entries[key].Value.(*cacheEntry)
	if tokens > entry.tokens {
		c.used += tokens - entry.tokens
		entry.tokens = tokens
	}
}

// makeRoom evicts unpinned entries until need more tokens fit, and reports whether
// they do.
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

// drop evicts an entry and reports a program's eviction.
func (c *engineCache) drop(element *list.Element, entry *cacheEntry) {
	c.used -= entry.tokens
	c.order.Remove(element)
	delete(c.entries, entry.key)
	if entry.key.program != 0 {
		c.onEvict(entry.key.program)
	}
}

// release removes the entry of a program that has ended, unless it is pinned.
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

// programs returns the set of programs with an entry.
func (c *engineCache) programs() map[uint64]struct{} {
	programs := make(map[uint64]struct{}, len(c.entries))
	for key := range c.entries {
		if key.program != 0 {
			programs[key.program] = struct{}{}
		}
	}
	return programs
}
