package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a request by what its repetitions have in common. It resists collisions, so
// that no account can have the requests of another one refused. The lowest bit tells its scope.
type Digest [16]byte

// scopeBit is set in the last byte of digests without a body.
const scopeBit = 1

// Request holds the digests of one request.
type Request struct {
	// Exact covers the client account, the method, the path with the query, and the body.
	Exact Digest
	// Path covers the same without the body: a conversation that repeats its history with each
	// request has another body each time. Frequent paths are recognised by requests that
	// complete.
	Path Digest
	// Program identifies the program of the request; 0 if it belongs to none.
	Program uint64
}

// RequestOf returns the digests of a request.
func RequestOf(account, method, uri string, body []byte) Request {
	path := digestOf([]byte(account), []byte(method), []byte(uri))
	exact := digestOf(path[:], body)
	path[len(path)-1] |= scopeBit
	exact[len(exact)-1] &^= scopeBit
	return Request{Exact: exact, Path: path}
}

// digests returns all digests of the request.
func (r Request) digests() [2]Digest { return [...]Digest{r.Exact, r.Path} }

func digestOf(parts ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writes to a hash never fail.
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// hasBody reports whether the digest covers a body.
func (d Digest) hasBody() bool { return d[len(d)-1]&scopeBit == 0 }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
