package fleet

import "github.com/cespare/xxhash/v2"

// idWindowSize is how many record IDs the fold remembers. A retry of an append
// comes within seconds of the first try, and the fleet appends at most 200 records
// a second, most of them to other streams.
const idWindowSize = 2048

// idWindow remembers the newest record IDs by their hashes. All hosts hold the same
// window at the same offset, since it depends on the records only.
type idWindow struct {
	known map[uint64]struct{}
	// order holds the hashes, the oldest at next once it is full.
	order []uint64
	next  int
}

func newIDWindow(hashes []uint64) *idWindow {
	w := &idWindow{known: make(map[uint64]struct{})}
	for _, hash := range hashes {
		w.addHash(hash)
	}
	return w
}

// add remembers an ID. It returns false when the ID is known already.
func (w *idWindow) add(id string) bool {
	return w.addHash(xxhash.Sum64String(id))
}

func (w *idWindow) addHash(hash uint64) bool {
	if _, found := w.known[hash]; found {
		return false
	}
	w.known[hash] = struct{}{}
	if len(w.order) < idWindowSize {
		w.order = append(w.order, hash)
		return true
	}
	delete(w.known, w.order[w.next])
	w.order[w.next] = hash
	w.next = (w.next + 1) % idWindowSize
	return true
}

// hashes returns the window, the oldest first.
func (w *idWindow) hashes() []uint64 {
	return append(append([]uint64(nil), w.order[w.next:]...), w.order[:w.next]...)
}
