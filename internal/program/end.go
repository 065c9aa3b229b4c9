package program

import (
	"sort"

	"cowslipgw/internal/structs"
)

// DecideEnd ends a program; ending a root also ends its sub-agents. A program with a
// running call ends after that call. It returns nil if there is no such program.
func (s *State) DecideEnd(req EndRequest, clock structs.OwnerClock) ([]byte, error) {
	r, p := s.find(req.Key)
	if r == nil || p == nil && req.Key.Program != req.Key.Root {
		return nil, nil
	}
	return Op{End: &endOp{Key: req.Key, At: clock.Now.UnixNano()}}.encode()
}

// applyEnd ends a program, or a root with its sub-agents.
func (s *State) applyEnd(key Key) {
	r, p := s.find(key)
	if r == nil {
		return
	}
	if key.Program == key.Root {
		for id, sub := range r.programs {
			s.remove(r, Key{key.Account, key.Root, id}, sub)
		}
	} else if p != nil {
		s.remove(r, key, p)
	}
	s.dropRoot(rootKey{key.Account, key.Root}, r, key.Program == key.Root)
}

// remove deletes a program from its root, or marks it as ending while its call is
// running.
func (s *State) remove(r *rootProgram, key Key, p *programState) {
	if p.Running != nil {
		p.Ending = true
		return
	}
	s.releaseHolders(p)
	delete(s.numbers, p.Number)
	delete(r.programs, key.Program)
}

// dropRoot removes a root without programs once the root program has ended. If only
// sub-agents have made calls, the root keeps its budget until it expires.
func (s *State) dropRoot(key rootKey, r *rootProgram, rootEnded bool) {
	r.Ending = r.Ending || rootEnded
	if r.Ending && len(r.programs) == 0 {
		delete(s.roots, key)
	}
}

// releaseHolders converts the holders of a program into pending releases.
func (s *State) releaseHolders(p *programState) {
	for _, replica := range p.Holders {
		s.release(replica, p.Number)
	}
	p.Holders = nil
}

// applyReleaseMemory releases the engine memory of a program that continues to exist.
func (s *State) applyReleaseMemory(op *releaseMemoryOp) {
	if _, p := s.find(op.Key); p != nil {
		s.releaseHolders(p)
	}
}

// release adds a pending release. When the limit is exceeded, the release of the
// program with the lowest number is dropped.
func (s *State) release(replica structs.ReplicaID, number uint64) {
	pending := s.releases[replica]
	if pending == nil {
		pending = make(map[uint64]struct{})
		s.releases[replica] = pending
	}
	pending[number] = struct{}{}
	if len(pending) <= maxReleases {
		return
	}
	oldest := number
	for other := range pending {
		oldest = min(oldest, other)
	}
	delete(pending, oldest)
}

// Release lists programs whose memory a replica must release.
type Release struct {
	Replica structs.ReplicaID
	Numbers []uint64
}

// Releases returns the pending releases, ordered by replica. The owner repeats the
// release orders until they are confirmed with DecideReleased.
func (s *State) Releases() []Release {
	releases := make([]Release, 0, len(s.releases))
	for replica, pending := range s.releases {
		numbers := make([]uint64, 0, len(pending))
		for number := range pending {
			numbers = append(numbers, number)
		}
		sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
		releases = append(releases, Release{Replica: replica, Numbers: numbers})
	}
	sort.Slice(releases, func(i, j int) bool { return releases[i].Replica < releases[j].Replica })
	return releases
}

// DecideReleased confirms releases. An empty list of numbers means that the replica is
// gone with all of its memory. It returns nil if nothing is pending.
func (s *State) DecideReleased(replica structs.ReplicaID, numbers []uint64) ([]byte, error) {
	pending := s.releases[replica]
	if len(pending) == 0 {
		return nil, nil
	}
	var confirmed []uint64
	for _, number := range numbers {
		if _, ok := pending[number]; ok {
			confirmed = append(confirmed, number)
		}
	}
	if len(numbers) > 0 && len(confirmed) == 0 {
		return nil, nil
	}
	return Op{Released: &releasedOp{Replica: replica, Numbers: confirmed}}.encode()
}

// applyReleased removes confirmed releases.
func (s *State) applyReleased(op *releasedOp) {
	for _, number := range op.Numbers {
		delete(s.releases[op.Replica], number)
	}
	if len(op.Numbers) == 0 || len(s.releases[op.Replica]) == 0 {
		delete(s.releases, op.Replica)
	}
}

// Releasing reports whether a release of the program's memory at the replica is
// pending.
func (s *State) Releasing(replica structs.ReplicaID, number uint64) bool {
	_, pending := s.releases[replica][number]
	return pending
}

// Fence returns a fencing token at least as high as that of every call begun so far.
func (s *State) Fence() uint64 {
	return s.fleetNumber(s.counter)
}
