package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// keyHashPrefix names the hash function in the text of a key hash.
const keyHashPrefix = "sha256:"

// KeyHash is the SHA-256 hash of a caller's key. The key itself is never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key as a caller presents it.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// ParseKeyHash reads "sha256:" and 64 hexadecimal digits.
func ParseKeyHash(text string) (KeyHash, bool) {
	digits, found := strings.CutPrefix(text, keyHashPrefix)
	raw, err := hex.DecodeString(digits)
	if !found || err != nil || len(raw) != sha256.Size {
		return KeyHash{}, false
	}
	return KeyHash(raw), true
}

// String returns the hash as it stands in the accounts list.
func (h KeyHash) String() string {
	return keyHashPrefix + hex.EncodeToString(h[:])
}

// Short returns the start of the hash, for messages and logs.
func (h KeyHash) Short() string {
	return keyHashPrefix + hex.EncodeToString(h[:4]) + "..."
}
