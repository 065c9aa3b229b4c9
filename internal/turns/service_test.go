package turns_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// TestCallThatOutlastsStopIsRefused guards against a settlement whose owner stops before it has replied,
// while the caller waits instead of asking the next owner.
func TestCallThatOutlastsStopIsRefused(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	service := turns.NewService(newOwner(log, nil), func(int) bool { return true }, event.Discard())
	service.Drain(time.Now().Add(500 * time.Millisecond))
	var reply turns.EndReply
	args := turns.EndArgs{Turn: ended("t", "", 1), WaitMS: 1500}
	is.True(service.End(args, &reply) != nil)
	is.True(!reply.Kept)
	// What fits is done.
	args.WaitMS = 300
	is.NoErr(service.End(args, &reply))
	is.True(reply.Kept)
}

// TestPanicInCall guards against a panic in a call of another host that ends the process.
func TestPanicInCall(t *testing.T) {
	is := is.New(t)
	service := turns.NewService(nil, nil, event.Discard()) // every call dereferences the owner
	is.True(service.Begin(turns.BeginArgs{}, &turns.BeginReply{}) != nil)
	is.True(service.End(turns.EndArgs{}, &turns.EndReply{}) != nil)
	is.True(service.Locate(turns.LocateArgs{}, &turns.LocateReply{}) != nil)
	is.True(service.Release(turns.ReleaseArgs{}, &turns.ReleaseReply{}) != nil)
}
