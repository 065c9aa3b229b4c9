package lists

import "crypto/sha256"

// KeyHash is the SHA-256 hash of a caller's key. The key itself is never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key as a caller presents it.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}
