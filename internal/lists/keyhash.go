package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// keyHashPrefix identifies the hash function in the text form of a key hash.
const keyHashPrefix = "sha256:"

// KeyHash is the SHA-256 hash of an API key. The key itself is never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key in the form that callers send.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// ParseKeyHash parses "sha256:" followed by 64 hexadecimal digits.
func ParseKeyHash(text string) (KeyHash, bool) {
	digits, found := strings.CutPrefix(text, keyHashPrefix)
	raw, err := hex.DecodeString(digits)
	if !found || err != nil || len(raw) != sha256.Size {
		return KeyHash{}, false
	}
	return KeyHash(raw), true
}

// String returns the hash in the form used in the accounts list.
func (h KeyHash) String() string {
	return keyHashPrefix + hex.EncodeToString(h[:])
}

// Short returns a shortened hash for messages and logs.
func (h KeyHash) Short() string {
	return keyHashPrefix + hex.EncodeToString(h[:4]) + "..."
}
