package engine

import (
	"container/list"
	"slices"
)

// cache is a prefix cache in limited memory. It evicts the least recently used
// entry first; of one prompt, the last message goes first. The engine's lock
// guards it.
type cache struct {
	limit, used int64
	entries     map[uint64]*list.Element
	// order has the most recently used entry in front.
	order  *list.List
	held   map[uint64]int
	events *cacheEvents
}

// cached is one entry: the KV cache of one message after its prefix.
type cached struct {
	link
	// programs hold the entry. An entry without any is kept until it is evicted.
	programs map[uint64]struct{}
	// depth is the position of the message in its prompt.
	depth int
}

func newCache(limit int64, events *cacheEvents) *cache {
	return &cache{
		limit:   limit,
		entries: make(map[uint64]*list.Element),
		order:   list.New(),
		held:    make(map[uint64]int),
		events:  events,
	}
}

// lookup returns how many tokens at the start of the prompt are cached, and marks
// them as used.
func (c *cache) lookup(chain []link) int64 {
	found := 0
	for found < len(chain) && c.entries[chain[found].hash] != nil {
		found++
	}
	c.touch(chain[:found])
	return chainTokens(chain[:found])
}

// touch marks entries as used, the first message as the most recent.
func (c *cache) touch(chain []link) {
	for _, l := range slices.Backward(chain) {
		if element := c.entries[l.hash]; element != nil {
			c.order.MoveToFront(element)
		}
	}
}

// store keeps a prompt for a program; 0 for no program.
func (c *cache) store(chain []link, program uint64) {
	for depth, l := range chain {
		c.storeLink(l, depth, program)
	}
	c.touch(chain)
	for c.used > c.limit {
		c.drop(c.order.Back(), 0)
	}
}

func (c *cache) storeLink(l link, depth int, program uint64) {
	element := c.entries[l.hash]
	if element == nil {
		element = c.order.PushFront(&cached{link: l, depth: depth, programs: make(map[uint64]struct{})})
		c.entries[l.hash] = element
		c.used += l.tokens
		c.events.add("stored", program, l)
	}
	programs := element.Value.(*cached).programs
	if _, holds := programs[program]; program != 0 && !holds {
		programs[program] = struct{}{}
		c.held[program]++
	}
}

// drop removes an entry; program is the one whose release causes that, 0 for none.
func (c *cache) drop(element *list.Element, program uint64) {
	entry := c.order.Remove(element).(*cached)
	delete(c.entries, entry.hash)
	c.used -= entry.tokens
	for holder := range entry.programs {
		c.letGo(holder)
	}
	c.events.add("evicted", program, entry.link)
}

func (c *cache) letGo(program uint64) {
	c.held[program]--
	if c.held[program] == 0 {
		delete(c.held, program)
	}
}

// release drops what only this program holds, and returns how many tokens that
// freed.
func (c *cache) release(program uint64) int64 {
	before := c.used
	for element := c.order.Front(); element != nil; {
		next := element.Next()
		entry := element.Value.(*cached)
		if _, holds := entry.programs[program]; holds {
			if len(entry.programs) == 1 {
				c.drop(element, program)
			} else {
				delete(entry.programs, program)
				c.letGo(program)
			}
		}
		element = next
	}
	return before - c.used
}

// programs returns the programs that hold cache, in order.
func (c *cache) programs() []uint64 {
	programs := make([]uint64, 0, len(c.held))
	for program := range c.held {
		programs = append(programs, program)
	}
	slices.Sort(programs)
	return programs
}

// export returns what a program holds, by depth.
func (c *cache) export(program uint64) []kvEntry {
	var entries []kvEntry
	for element := c.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*cached)
		if _, holds := entry.programs[program]; holds {
			entries = append(entries, kvEntry{Hash: entry.hash, Tokens: entry.tokens, Depth: entry.depth})
		}
	}
	slices.SortStableFunc(entries, func(a, b kvEntry) int { return a.Depth - b.Depth })
	return entries
}

// load stores exported entries for a program.
func (c *cache) load(program uint64, entries []kvEntry) {
	chain := make([]link, len(entries))
	for i, entry := range entries {
		chain[i] = link{hash: entry.Hash, tokens: entry.Tokens}
		c.storeLink(chain[i], entry.Depth, program)
	}
	c.store(chain[:0], program)
	c.touch(chain)
}
