package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a request by what its repetitions have in common: the client account, the
// method, the path and query, and the body. It resists collisions, so that no account can have
// the requests of another one refused.
type Digest [16]byte

// DigestOf returns the digest of a request.
func DigestOf(account, method, uri string, body []byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(account), []byte(method), []byte(uri), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writes to a hash never fail.
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
