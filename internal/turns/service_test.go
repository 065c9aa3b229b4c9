package turns_test

import (
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/turns"
)

// TestPanicInCall guards against a panic in a call of another host that ends the process.
func TestPanicInCall(t *testing.T) {
	is := is.New(t)
	service := turns.NewService(nil, nil, event.Discard()) // every call dereferences the owner
	is.True(service.Begin(turns.BeginArgs{}, &turns.BeginReply{}) != nil)
	is.True(service.End(turns.EndArgs{}, &turns.EndReply{}) != nil)
	is.True(service.Locate(turns.LocateArgs{}, &turns.LocateReply{}) != nil)
	is.True(service.Release(turns.ReleaseArgs{}, &turns.ReleaseReply{}) != nil)
}
