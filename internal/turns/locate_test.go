package turns_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// largeFleet is a fleet of 300 hosts of which each partition has another owner. It counts the
// calls to them, all of which report that the turn is unknown.
type largeFleet struct{ calls atomic.Int64 }

func (*largeFleet) host(n int) peers.Host { return peers.Host{ID: strconv.Itoa(n)} }

func (f *largeFleet) Self() peers.Host { return f.host(299) }

func (f *largeFleet) Candidates(key uint64, limit int) []peers.Host {
	var hosts []peers.Host
	for n := range min(limit, 300) {
		hosts = append(hosts, f.host((int(key)+n)%300))
	}
	return hosts
}

func (f *largeFleet) StorelessCandidates(key uint64, limit int) []peers.Host {
	return f.Candidates(key, limit)
}

func (f *largeFleet) Others() []peers.Host { return f.Candidates(0, 299) }

func (f *largeFleet) Call(_ context.Context, h peers.Host, method string, _, reply any) error {
	f.calls.Add(1)
	switch reply := reply.(type) {
	case *turns.BeginReply:
		reply.Outcome = turns.UnknownParent
	case *turns.LocateReply:
		reply.Outcome = turns.UnknownParent
		for partition := range turns.Partitions {
			if f.Candidates(uint64(partition)+1, 1)[0].ID == h.ID {
				reply.Certain |= 1 << partition
			}
		}
	}
	return nil
}

// TestSearchAsksOwnersOnly guards against a search for a turn whose cost grows with the fleet.
func TestSearchAsksOwnersOnly(t *testing.T) {
	is := is.New(t)
	f := &largeFleet{}
	client := turns.NewClient(f, f, func() time.Duration { return 0 })
	client.SetOwner(newOwner(storelog.NewMemory(), nil))
	reply, _ := client.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: "p", Turn: "t", Parent: "unknown", MaxTokens: 1}, nil)
	is.Equal(reply.Outcome, turns.UnknownParent)
	is.True(f.calls.Load() <= turns.Partitions+3)
}
