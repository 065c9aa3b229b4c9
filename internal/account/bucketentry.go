package account

import (
	"sort"

	"cowslipgw/internal/structs"
)

// BucketEntry is one bucket in a snapshot.
type BucketEntry struct {
	Account structs.AccountID `cbor:"1,keyasint"`
	Bucket  bucket            `cbor:"2,keyasint"`
	Hosts   []hostEntry       `cbor:"3,keyasint,omitempty"`
}

// hostEntry is one host's holding in a snapshot.
type hostEntry struct {
	Origin  structs.Origin `cbor:"1,keyasint"`
	Holding holding        `cbor:"2,keyasint"`
}

// Entries returns all buckets, sorted by account, with their holdings sorted by
// host.
func (b Buckets) Entries() []*BucketEntry {
	entries := make([]*BucketEntry, 0, len(b))
	for id, e := range b {
		encoded := &BucketEntry{Account: id, Bucket: e.bucket}
		for origin, h := range e.hosts {
			encoded.Hosts = append(encoded.Hosts, hostEntry{origin, h})
		}
		sort.Slice(encoded.Hosts, func(i, j int) bool {
			return originLess(encoded.Hosts[i].Origin, encoded.Hosts[j].Origin)
		})
		entries = append(entries, encoded)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Account < entries[j].Account })
	return entries
}

// Restore adds a bucket from a snapshot.
func (b Buckets) Restore(encoded *BucketEntry) {
	restored := &accountState{bucket: encoded.Bucket, hosts: make(map[structs.Origin]holding)}
	for _, h := range encoded.Hosts {
		restored.hosts[h.Origin] = h.Holding
	}
	b[encoded.Account] = restored
}
