package storelog

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Memory is an in-memory Log. It stands in for the store in tests and `cowslipgw dev`.
type Memory struct {
	mu         sync.Mutex
	partitions map[Partition][]Record
	appended   chan struct{}
	// fault, if set, is called before each call, which returns the fault's error if it is not
	// nil. If applied is set, the call takes effect before the error is returned.
	fault func(call string, p Partition) (err error, applied bool)
}

// NewMemory returns an empty log.
func NewMemory() *Memory {
	return &Memory{partitions: make(map[Partition][]Record), appended: make(chan struct{})}
}

// SetFault installs a function that injects faults into calls; nil removes it. If the
// function returns an error, the call fails with it, and with applied an append takes effect
// nevertheless.
func (m *Memory) SetFault(fault func(call string, p Partition) (err error, applied bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

func (m *Memory) injectedFault(call string, p Partition) (error, bool) {
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
	fault, applied := m.injectedFault("append", p)
	if fault != nil && !applied {
		return -1, fault
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.partitions[p]
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
	m.partitions[p] = list
	close(m.appended)
	m.appended = make(chan struct{})
	if fault != nil {
		return -1, fault
	}
	return int64(len(list)), nil
}

// Read implements Log.
func (m *Memory) Read(ctx context.Context, p Partition, from int64, wait time.Duration) ([]Record, int64, error) {
	if fault, _ := m.injectedFault("read", p); fault != nil {
		return nil, 0, fault
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		list := m.partitions[p]
		appended := m.appended
		m.mu.Unlock()
		if from < int64(len(list)) || wait == 0 {
			start := min(from, int64(len(list)))
			return list[start:len(list):len(list)], int64(len(list)), nil
		}
		select {
		case <-appended:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return nil, 0, ErrUnknown
		}
	}
}

// At implements Log.
func (m *Memory) At(_ context.Context, p Partition, offset int64, _ int) (Record, error) {
	if fault, _ := m.injectedFault("read", p); fault != nil {
		return Record{}, fault
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if offset < 0 || offset >= int64(len(m.partitions[p])) {
		return Record{}, ErrTrimmed
	}
	return m.partitions[p][offset], nil
}

// Newest implements Log. It returns all records in one page.
func (m *Memory) Newest(_ context.Context, p Partition, after string) (Page, error) {
	if fault, _ := m.injectedFault("newest", p); fault != nil {
		return Page{}, fault
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := make(map[string]Record)
	for _, r := range m.partitions[p] {
		if len(r.Value) == 0 {
			delete(newest, r.Key)
			continue
		}
		newest[r.Key] = r
	}
	page := Page{End: int64(len(m.partitions[p]))}
	for key, r := range newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	sort.Slice(page.Records, func(i, j int) bool { return page.Records[i].Key < page.Records[j].Key })
	return page, nil
}
