package account

import (
	"crypto/rand"
	"encoding/base64"
	"strings"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// KeyPrefix is the prefix of every key. It lets people and secret scanners recognize
// one.
const KeyPrefix = "cgw_"

// keyBytes is the length of a key's random part. 256 bits cannot be guessed.
const keyBytes = 32

// maxKeyLength bounds the input that is hashed for an unauthenticated caller.
const maxKeyLength = 256

// NewKey returns a new random key from the system's secure random number generator.
func NewKey() (string, error) {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", err
	}
	return KeyPrefix + base64.RawURLEncoding.EncodeToString(random), nil
}

// Auth is the outcome of authenticating a caller.
type Auth int

const (
	// AuthMissing means that the request has no Authorization header.
	AuthMissing Auth = iota + 1
	// AuthMalformed means that the header does not contain a valid bearer token.
	AuthMalformed
	// AuthUnknown means that no account has the key, or that the key was withdrawn.
	AuthUnknown
	// AuthOK means that the key belongs to an account.
	AuthOK
)

// Authenticate looks up the account for the Authorization headers of a request. Keys
// are compared only by their SHA-256 hash: the timing of the lookup can reveal
// information about the hash, but no key can be derived from that. The hash is
// returned for use with lists.Withdrawal.
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

// validToken reports whether text has the syntax of a bearer token (RFC 6750).
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
