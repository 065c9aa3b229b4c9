package logservice

// IDSet remembers the newest record IDs of a stream, so that a fold applies a
// record only once when its append was retried. It holds at most its bound of IDs
// and forgets the oldest first: a retry that comes more than that many distinct
// records later counts as new. Hosts that add the same IDs hold the same set. It
// is not safe for concurrent use.
type IDSet struct {
	bound int
	known map[string]struct{}
	// order is a ring of IDs; next is the place of the oldest once it is full.
	order []string
	next  int
}

// NewIDSet returns a set of at most bound IDs, and at least one, that holds the
// given IDs, oldest first.
func NewIDSet(bound int, ids ...string) *IDSet {
	s := &IDSet{bound: max(1, bound), known: make(map[string]struct{})}
	for _, id := range ids {
		s.Add(id)
	}
	return s
}

// Add remembers an ID. It returns false when the ID is in the set already.
func (s *IDSet) Add(id string) bool {
	if _, found := s.known[id]; found {
		return false
	}
	s.known[id] = struct{}{}
	if len(s.order) < s.bound {
		s.order = append(s.order, id)
		return true
	}
	delete(s.known, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % s.bound
	return true
}

// IDs returns the IDs, oldest first. A snapshot record carries them, so that a
// host which starts from it drops the same retries as the others.
func (s *IDSet) IDs() []string {
	return append(append([]string(nil), s.order[s.next:]...), s.order[:s.next]...)
}
