package engine

import (
	"container/list"
	"slices"
)

// cache is a prefix cache with limited memory and LRU eviction. Of the messages of
// one prompt, the last is evicted first. The cache is guarded by the engine's
// mutex.
type cache struct {
	limit, used int64
	entries     map[uint64]*list.Element
	// lru is ordered from the most to the least recently used entry.
	lru *list.List
	// entryCounts is the number of entries that each program holds.
	entryCounts map[uint64]int
	events      *cacheEventLog
}

// cacheEntry is the KV cache of one message after its prefix.
type cacheEntry struct {
	link
	// programs is the set of programs that hold the entry. An entry without holders
	// is kept until it is evicted.
	programs map[uint64]struct{}
	// depth is the position of the message in its prompt.
	depth int
}

func newCache(limit int64, events *cacheEventLog) *cache {
	return &cache{
		limit:       limit,
		entries:     make(map[uint64]*list.Element),
		lru:         list.New(),
		entryCounts: make(map[uint64]int),
		events:      events,
	}
}

// lookup returns the number of tokens in the longest cached prefix of the prompt
// and marks the prefix as used.
func (c *cache) lookup(chain []link) int64 {
	found := 0
	for found < len(chain) && c.entries[chain[found].hash] != nil {
		found++
	}
	c.touch(chain[:found])
	return chainTokens(chain[:found])
}

// touch marks entries as used. The first message becomes the most recently used
// one, so that it is evicted after the others.
func (c *cache) touch(chain []link) {
	for _, l := range slices.Backward(chain) {
		if element := c.entries[l.hash]; element != nil {
			c.lru.MoveToFront(element)
		}
	}
}

// store caches a prompt on behalf of a program, or of none if program is 0. It
// evicts entries that exceed the limit.
func (c *cache) store(chain []link, program uint64) {
	for depth, l := range chain {
		c.storeLink(l, depth, program)
	}
	c.touch(chain)
	for c.used > c.limit {
		c.evict(c.lru.Back(), 0)
	}
}

func (c *cache) storeLink(l link, depth int, program uint64) {
	element := c.entries[l.hash]
	if element == nil {
		element = c.lru.PushFront(&cacheEntry{link: l, depth: depth, programs: make(map[uint64]struct{})})
		c.entries[l.hash] = element
		c.used += l.tokens
		c.events.add("stored", program, l)
	}
	programs := element.Value.(*cacheEntry).programs
	if _, holds := programs[program]; program != 0 && !holds {
		programs[program] = struct{}{}
		c.entryCounts[program]++
	}
}

// evict removes an entry. program is the program whose release causes the removal,
// or 0.
func (c *cache) evict(element *list.Element, program uint64) {
	entry := c.lru.Remove(element).(*cacheEntry)
	delete(c.entries, entry.hash)
	c.used -= entry.tokens
	for holder := range entry.programs {
		c.decrementEntries(holder)
	}
	c.events.add("evicted", program, entry.link)
}

// decrementEntries decrements the number of entries that a program holds.
func (c *cache) decrementEntries(program uint64) {
	c.entryCounts[program]--
	if c.entryCounts[program] == 0 {
		delete(c.entryCounts, program)
	}
}

// release removes a program from its entries, evicts the entries that no other
// program holds, and returns the number of tokens freed.
func (c *cache) release(program uint64) int64 {
	before := c.used
	for element := c.lru.Front(); element != nil; {
		next := element.Next()
		entry := element.Value.(*cacheEntry)
		if _, holds := entry.programs[program]; holds {
			if len(entry.programs) == 1 {
				c.evict(element, program)
			} else {
				delete(entry.programs, program)
				c.decrementEntries(program)
			}
		}
		element = next
	}
	return before - c.used
}

// programs returns the programs that hold entries, in ascending order.
func (c *cache) programs() []uint64 {
	programs := make([]uint64, 0, len(c.entryCounts))
	for program := range c.entryCounts {
		programs = append(programs, program)
	}
	slices.Sort(programs)
	return programs
}

// exportEntries returns the entries that a program holds, ordered by depth.
func (c *cache) exportEntries(program uint64) []kvEntry {
	var entries []kvEntry
	for element := c.lru.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*cacheEntry)
		if _, holds := entry.programs[program]; holds {
			entries = append(entries, kvEntry{Hash: entry.hash, Tokens: entry.tokens, Depth: entry.depth})
		}
	}
	slices.SortStableFunc(entries, func(a, b kvEntry) int { return a.Depth - b.Depth })
	return entries
}

// importEntries stores exported entries on behalf of a program.
func (c *cache) importEntries(program uint64, entries []kvEntry) {
	chain := make([]link, len(entries))
	for i, entry := range entries {
		chain[i] = link{hash: entry.Hash, tokens: entry.Tokens}
		c.storeLink(chain[i], entry.Depth, program)
	}
	c.store(chain[:0], program)
	c.touch(chain)
}
