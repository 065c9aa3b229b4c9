package account

import (
	"crypto/rand"
	"encoding/base64"
	"strings"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// KeyPrefix starts every key, so that people and secret scanners recognise one.
const KeyPrefix = "cgw_"

// keyBytes is the random part of a key: 256 bits cannot be guessed.
const keyBytes = 32

// maxKeyLength limits what is hashed for a caller that is not yet known.
const maxKeyLength = 256

// NewKey returns a new key from the system's random numbers.
func NewKey() (string, error) {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", err
	}
	return KeyPrefix + base64.RawURLEncoding.EncodeToString(random), nil
}

// Auth is the outcome of looking up a caller's key.
type Auth int

const (
	// AuthMissing means that the request has no Authorization header.
	AuthMissing Auth = iota + 1
	// AuthMalformed means that the header is not a bearer token.
	AuthMalformed
	// AuthUnknown means that no account has the key, or that it was withdrawn.
	AuthUnknown
	// AuthOK means that the account was found.
	AuthOK
)

// Authenticate finds the account of the Authorization headers of a request. Keys are
// compared by their SHA-256 hash only: what a caller can learn from the time of the
// lookup concerns the hash, from which no key can be built. The hash is returned for
// lists.Withdrawal.
func Authenticate(current *lists.Lists, headers []string) (structs.AccountID, lists.KeyHash, Auth) {
	if len(headers) == 0 || len(headers) == 1 && headers[0] == "" {
		return "", lists.KeyHash{}, AuthMissing
	}
	if len(headers) > 1 {
		return "", lists.KeyHash{}, AuthMalformed
	}
	scheme, token, found := strings.Cut(headers[0], " ")
	token = strings.Trim(token, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || !validToken(token) {
		return "", lists.KeyHash{}, AuthMalformed
	}
	hash := lists.HashKey(token)
	id, known := current.AccountByKey(hash)
	if !known {
		return "", lists.KeyHash{}, AuthUnknown
	}
	return id, hash, AuthOK
}

// validToken reports whether text has the form of a bearer token (RFC 6750).
func validToken(text string) bool {
	if text == "" || len(text) > maxKeyLength {
		return false
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("-._~+/=", r) {
			return false
		}
	}
	return true
}
