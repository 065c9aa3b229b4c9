package storelog

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Memory is a Log in memory, the stand-in of the store for tests and `cowslipgw dev`.
type Memory struct {
	mu    sync.Mutex
	parts map[Partition][]Record
	grown chan struct{}
	// fault, if set, is asked before each call; a non-nil error ends the call. After
	// says that the error is returned although the call took effect.
	fault func(call string, p Partition) (err error, after bool)
}

// NewMemory returns an empty log.
func NewMemory() *Memory {
	return &Memory{parts: make(map[Partition][]Record), grown: make(chan struct{})}
}

// SetFault installs a fault that is asked before each call, or removes it with nil.
func (m *Memory) SetFault(fault func(call string, p Partition) (err error, after bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

func (m *Memory) faultOf(call string, p Partition) (error, bool) {
	m.mu.Lock()
	fault := m.fault
	m.mu.Unlock()
	if fault == nil {
		return nil, false
	}
	return fault(call, p)
}

// Append implements Log.
func (m *Memory) Append(_ context.Context, p Partition, expected int64, records []Record) (int64, error) {
	fault, after := m.faultOf("append", p)
	if fault != nil && !after {
		return -1, fault
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.parts[p]
	if expected != AnyEnd && expected != int64(len(list)) {
		if fault != nil {
			return -1, fault
		}
		return int64(len(list)), ErrConflict
	}
	for _, r := range records {
		r.Offset = int64(len(list))
		list = append(list, r)
	}
	m.parts[p] = list
	close(m.grown)
	m.grown = make(chan struct{})
	if fault != nil {
		return -1, fault
	}
	return int64(len(list)), nil
}

// Read implements Log.
func (m *Memory) Read(ctx context.Context, p Partition, from int64, wait time.Duration) ([]Record, int64, error) {
	if fault, _ := m.faultOf("read", p); fault != nil {
		return nil, 0, fault
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		list := m.parts[p]
		grown := m.grown
		m.mu.Unlock()
		if from < int64(len(list)) || wait == 0 {
			start := min(from, int64(len(list)))
			return list[start:len(list):len(list)], int64(len(list)), nil
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return nil, 0, ErrUnknown
		}
	}
}

// Newest implements Log. It returns everything in one page.
func (m *Memory) Newest(_ context.Context, p Partition, after string) (Page, error) {
	if fault, _ := m.faultOf("newest", p); fault != nil {
		return Page{}, fault
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := make(map[string]Record)
	for _, r := range m.parts[p] {
		if len(r.Value) == 0 {
			delete(newest, r.Key)
			continue
		}
		newest[r.Key] = r
	}
	page := Page{End: int64(len(m.parts[p]))}
	for key, r := range newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	sort.Slice(page.Records, func(i, j int) bool { return page.Records[i].Key < page.Records[j].Key })
	return page, nil
}
