package program

import (
	"fmt"
	"sort"

	"cowslipgw/internal/structs"
)

// DecideAbandon ends the running calls of hosts that are not in the view, with an
// unknown outcome. Their reservations count as spent, and the next call of each program
// waits for the dispatch window. It returns nil if there is no such call.
func (s *State) DecideAbandon(inView InView, clock structs.OwnerClock) ([]byte, error) {
	op := &abandonOp{
		Window: ownerTime{Owner: clock.Owner, Monotonic: clock.Monotonic + DispatchWindow},
		At:     clock.Now.UnixNano(),
	}
	orphaned := func(p *programState) bool { return p.Running != nil && !inView(p.Running.Origin) }
	for _, key := range s.keysMatching(orphaned) {
		_, p := s.find(key)
		op.Calls = append(op.Calls, callRef{Key: key, Call: p.Running.ID})
	}
	if len(op.Calls) == 0 {
		return nil, nil
	}
	return Op{Abandon: op}.encode()
}

// RunningCalls returns the running call of each program that has one.
func (s *State) RunningCalls() map[Key]structs.CallID {
	var running map[Key]structs.CallID
	for _, key := range s.numbers {
		_, p := s.find(key)
		if p == nil || p.Running == nil {
			continue
		}
		if running == nil {
			running = make(map[Key]structs.CallID)
		}
		running[key] = p.Running.ID
	}
	return running
}

// applyAbandon ends calls with an unknown outcome.
func (s *State) applyAbandon(op *abandonOp) error {
	for _, ref := range op.Calls {
		r, p := s.find(ref.Key)
		if p == nil || p.Running == nil || p.Running.ID != ref.Call {
			return fmt.Errorf("abandon of %s: %w", ref.Call, ErrMalformedOp)
		}
		r.endCall(p, structs.OutcomeUnknown, 0, op.At)
		p.Window = op.Window
		p.LastUnknown = true
		if p.Ending {
			s.applyEnd(ref.Key)
		}
	}
	return nil
}

// keys returns the keys of all programs in order.
func (s *State) keys() []Key {
	return s.keysMatching(func(*programState) bool { return true })
}

// keysMatching returns the keys of the matching programs in order. Owners look for a
// few programs among thousands every second, so only the matching ones are sorted.
func (s *State) keysMatching(match func(*programState) bool) []Key {
	var keys []Key
	for _, key := range s.numbers {
		if _, p := s.find(key); match(p) {
			keys = append(keys, key)
		}
	}
	sortKeys(keys)
	return keys
}

// less reports whether k sorts before other.
func (k Key) less(other Key) bool {
	if k.Account != other.Account {
		return k.Account < other.Account
	}
	if k.Root != other.Root {
		return k.Root < other.Root
	}
	return k.Program < other.Program
}

// sortKeys sorts keys in place.
func sortKeys(keys []Key) {
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
}
