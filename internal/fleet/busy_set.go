package fleet

import (
	"sync"

	"cowslipgw/internal/structs"
)

// busySet is the set of hosts to which a call is in flight. It is safe for concurrent
// use.
type busySet struct {
	mu    sync.Mutex
	hosts map[structs.HostID]bool
}

func newBusySet() *busySet {
	return &busySet{hosts: make(map[structs.HostID]bool)}
}

// tryAdd adds the host to the set. It returns false if the host is already in it.
func (s *busySet) tryAdd(id structs.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts[id] {
		return false
	}
	s.hosts[id] = true
	return true
}

func (s *busySet) remove(id structs.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, id)
}
