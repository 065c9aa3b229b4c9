package turns_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// movedFleet is a fleet whose partitions have moved from host former to host next, because only former
// has noticed that it cannot reach the store.
type movedFleet struct{ self, former, next peers.Host }

func (f movedFleet) Self() peers.Host                             { return f.self }
func (f movedFleet) Candidates(uint64, int) []peers.Host          { return []peers.Host{f.next, f.former} }
func (f movedFleet) StorelessCandidates(uint64, int) []peers.Host { return []peers.Host{f.former} }
func (f movedFleet) Others() []peers.Host                         { return []peers.Host{f.former, f.next} }

// ownerCalls passes the calls to owners by the ID of their host.
type ownerCalls map[string]*turns.Owner

func (c ownerCalls) Call(ctx context.Context, h peers.Host, method string, args, reply any) error {
	if method != turns.ServiceName+".Begin" {
		return errors.New("method is not expected")
	}
	*reply.(*turns.BeginReply) = c[h.ID].Begin(ctx, args.(turns.BeginArgs))
	return ctx.Err()
}

// TestProgramContinuesAtFormerOwner guards against a running program that is refused in the first second
// of an outage, although its owner has preallocated tokens: its partition has moved to a host that has
// not noticed the outage and cannot load it. What has no preallocation is refused, and leaves nothing
// that is uncertain at the former owner.
func TestProgramContinuesAtFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		fleet := movedFleet{peers.Host{ID: "self"}, peers.Host{ID: "former", Incarnation: 1}, peers.Host{ID: "next", Incarnation: 1}}
		former := turns.NewOwner(fleet.former, log, singlePeer{}, 8, event.Discard())
		next := turns.NewOwner(fleet.next, log, singlePeer{}, 8, event.Discard())
		client := turns.NewClient(fleet, ownerCalls{"former": former, "next": next}, func() time.Duration { return 0 })
		is.Equal(begin(t, former, "a0", "", 700).Outcome, turns.Granted) // two further turns are preallocated
		log.SetFault(down)
		args := turns.BeginArgs{Account: "a", Program: "p", Budget: 700, MaxTokens: 100, RetentionMS: 60_000}
		for _, id := range []string{"a1", "a2"} {
			args.Turn = id
			reply, _ := client.Begin(deadline(t, 5*time.Second), args, nil)
			is.Equal(reply.Outcome, turns.Granted)
		}
		args.Turn = "a3"
		reply, _ := client.Begin(deadline(t, 5*time.Second), args, nil)
		is.Equal(reply.Outcome, turns.Unavailable)
		args.Program = "other"
		reply, _ = client.Begin(deadline(t, 5*time.Second), args, nil)
		is.Equal(reply.Outcome, turns.Unavailable)
		is.True(former.Idle())
		log.SetFault(nil)
		time.Sleep(5 * time.Second)
		// Of 700 tokens 300 are granted, and all of them count at the next owner.
		is.True(300+grantAll(t, 700, next) <= 700)
		time.Sleep(time.Second)
	})
}
