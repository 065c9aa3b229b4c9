package program

import (
	"fmt"
	"sort"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// snapshot is the encoded form of a State. Its lists are sorted, so that equal states
// have equal snapshots.
type snapshot struct {
	Counter       uint64                 `cbor:"1,keyasint"`
	DataLossUntil int64                  `cbor:"2,keyasint,omitempty"`
	Roots         []rootEntry            `cbor:"3,keyasint,omitempty"`
	Programs      []programEntry         `cbor:"4,keyasint,omitempty"`
	Claims        []claimEntry           `cbor:"5,keyasint,omitempty"`
	Releases      []Release              `cbor:"6,keyasint,omitempty"`
	Buckets       []*account.BucketEntry `cbor:"7,keyasint,omitempty"`
	DataLossAt    ownerTime              `cbor:"8,keyasint"`
}

type rootEntry struct {
	Account structs.AccountID `cbor:"1,keyasint"`
	Root    structs.ProgramID `cbor:"2,keyasint"`
	State   *rootProgram      `cbor:"3,keyasint"`
}

type programEntry struct {
	Key   Key           `cbor:"1,keyasint"`
	State *programState `cbor:"2,keyasint"`
}

type claimEntry struct {
	Key   ClaimKey `cbor:"1,keyasint"`
	State *claim   `cbor:"2,keyasint"`
}

// Snapshot encodes the complete state.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{
		Counter:       s.counter,
		DataLossUntil: s.dataLossUntil,
		DataLossAt:    s.dataLossAt,
		Releases:      s.Releases(),
		Buckets:       s.buckets.Entries(),
	}
	for key, r := range s.roots {
		snap.Roots = append(snap.Roots, rootEntry{key.Account, key.Root, r})
	}
	sort.Slice(snap.Roots, func(i, j int) bool {
		a, b := snap.Roots[i], snap.Roots[j]
		return Key{Account: a.Account, Root: a.Root}.less(Key{Account: b.Account, Root: b.Root})
	})
	for _, key := range s.keys() {
		_, p := s.find(key)
		snap.Programs = append(snap.Programs, programEntry{key, p})
	}
	for _, key := range s.claimKeys(func(*claim) bool { return true }) {
		snap.Claims = append(snap.Claims, claimEntry{key, s.claims[key]})
	}
	data, err := encMode.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state with a snapshot. If it fails, the state is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := decMode.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	fresh := New(s.id, s.limits)
	fresh.counter = snap.Counter
	fresh.dataLossUntil = snap.DataLossUntil
	fresh.dataLossAt = snap.DataLossAt
	for _, entry := range snap.Roots {
		if entry.State == nil {
			return fmt.Errorf("empty root in the snapshot: %w", ErrMalformedOp)
		}
		entry.State.programs = make(map[structs.ProgramID]*programState)
		fresh.roots[rootKey{entry.Account, entry.Root}] = entry.State
	}
	for _, entry := range snap.Programs {
		r := fresh.roots[rootKey{entry.Key.Account, entry.Key.Root}]
		if r == nil || entry.State == nil {
			return fmt.Errorf("program without a root in the snapshot: %w", ErrMalformedOp)
		}
		r.programs[entry.Key.Program] = entry.State
		fresh.numbers[entry.State.Number] = entry.Key
	}
	for _, entry := range snap.Claims {
		if entry.State == nil {
			return fmt.Errorf("empty claim in the snapshot: %w", ErrMalformedOp)
		}
		fresh.claims[entry.Key] = entry.State
		fresh.answerBytes += entry.State.Answer.size()
	}
	for _, release := range snap.Releases {
		for _, number := range release.Numbers {
			fresh.release(release.Replica, number)
		}
	}
	for _, entry := range snap.Buckets {
		if entry == nil {
			return fmt.Errorf("empty bucket in the snapshot: %w", ErrMalformedOp)
		}
		fresh.buckets.Restore(entry)
	}
	*s = *fresh
	return nil
}
