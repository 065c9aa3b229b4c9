package fleet

import (
	"sync"

	"cowslipgw/internal/structs"
)

// busySet names the hosts to which a call is in flight.
type busySet struct {
	mu    sync.Mutex
	hosts map[structs.HostID]bool
}

func newBusySet() *busySet {
	return &busySet{hosts: make(map[structs.HostID]bool)}
}

// enter returns false when the host is in the set already.
func (s *busySet) enter(id structs.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts[id] {
		return false
	}
	s.hosts[id] = true
	return true
}

func (s *busySet) leave(id structs.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, id)
}
