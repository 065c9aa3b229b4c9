package fleet

import "github.com/cespare/xxhash/v2"

// idWindowSize is the number of record IDs kept for deduplication. An append is retried
// within seconds of its first attempt, and the fleet appends at most 200 records a
// second, most of them to other streams.
const idWindowSize = 2048

// idWindow is a sliding window over the hashes of the most recent record IDs. It detects
// records that a retry appended twice. The window depends on the records only, so all
// hosts have the same window at the same offset.
type idWindow struct {
	seen map[uint64]struct{}
	// order is a ring buffer of the hashes. Once it is full, next is the index of the
	// oldest one.
	order []uint64
	next  int
}

func newIDWindow(hashes []uint64) *idWindow {
	w := &idWindow{seen: make(map[uint64]struct{})}
	for _, hash := range hashes {
		w.addHash(hash)
	}
	return w
}

// add adds an ID to the window. It returns false if the ID is already in it.
func (w *idWindow) add(id string) bool {
	return w.addHash(xxhash.Sum64String(id))
}

func (w *idWindow) addHash(hash uint64) bool {
	if _, found := w.seen[hash]; found {
		return false
	}
	w.seen[hash] = struct{}{}
	if len(w.order) < idWindowSize {
		w.order = append(w.order, hash)
		return true
	}
	delete(w.seen, w.order[w.next])
	w.order[w.next] = hash
	w.next = (w.next + 1) % idWindowSize
	return true
}

// hashes returns the hashes in the window, oldest first.
func (w *idWindow) hashes() []uint64 {
	return append(append([]uint64(nil), w.order[w.next:]...), w.order[:w.next]...)
}
