package turns

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"strconv"
	"strings"
)

const (
	// separator is a character that no header field may contain, so that callers cannot name
	// the IDs with it.
	separator = "\x7f"
	// maxKey is the length of the longest ID of a caller that is stored as it is, in bytes. The
	// store accepts keys of 255 bytes, and pieces add a number.
	maxKey = 200
)

// Key returns the name under which an ID of a caller is stored: a hash, if it is too long for a
// key of the store.
func Key(id string) string {
	if len(id) <= maxKey {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return separator + hex.EncodeToString(sum[:])
}

// Pieces splits an ended turn, with a history that is to be stored before its input, into turns
// with contents of at most limit bytes. Each continues the one before, and the last one has the
// ID, the output and the tokens of the turn, so that the chain of the last one is the same as
// that of the whole turn. Owners of any build can store and continue them.
func Pieces(t Turn, history []byte, limit int) iter.Seq[Turn] {
	return func(yield func(Turn) bool) {
		rest := segments{history, t.Input, t.Output}
		if len(history) == 0 && rest.size() <= limit {
			yield(t)
			return
		}
		parent := t.Parent
		for n := 0; rest.size() > limit; n++ {
			piece := Turn{ID: t.ID + separator + strconv.Itoa(n), Parent: parent, Account: t.Account, Program: t.Program,
				State: Ended, Input: rest.take(limit), Expiry: t.Expiry}
			parent = piece.ID
			if !yield(piece) {
				return
			}
		}
		t.Parent, t.Input, t.Output = parent, rest.take(rest.size()), nil
		yield(t)
	}
}

// turnOf returns the ID of the turn to which a piece belongs; that of the turn itself for others.
func turnOf(id string) string {
	if n := strings.LastIndex(id, separator); n > 0 {
		return id[:n]
	}
	return id
}

// segments are byte slices that are read as one.
type segments [][]byte

func (s segments) size() int {
	total := 0
	for _, part := range s {
		total += len(part)
	}
	return total
}

// take removes the first n bytes and returns a copy of them.
func (s segments) take(n int) []byte {
	taken := make([]byte, 0, n)
	for i, part := range s {
		k := min(n-len(taken), len(part))
		taken = append(taken, part[:k]...)
		s[i] = part[k:]
	}
	return taken
}

// drop removes the first n bytes.
func (s segments) drop(n int) {
	for i, part := range s {
		k := min(n, len(part))
		s[i], n = part[k:], n-k
	}
}
