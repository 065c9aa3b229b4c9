package balance

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/replica"
)

// testHosts is a fleet of two hosts of which the other one owns all services.
type testHosts struct{ peers.Hosts }

// Self implements peers.Hosts.
func (testHosts) Self() peers.Host { return peers.Host{ID: "self", Domain: "a"} }

// StorelessCandidates implements peers.Hosts.
func (testHosts) StorelessCandidates(uint64, int) []peers.Host { return []peers.Host{{ID: "owner"}} }

// testCalls is the connection to the owner; err replaces its replies.
type testCalls struct {
	owner *Owner
	err   error
	calls int
}

// Call implements peers.Calls.
func (c *testCalls) Call(_ context.Context, _ peers.Host, method string, args, reply any) error {
	c.calls++
	if c.err != nil {
		return c.err
	}
	service := NewService(c.owner, event.Discard())
	if method == ServiceName+".End" {
		return service.End(args.(EndArgs), reply.(*EndReply))
	}
	return service.Assign(args.(AssignArgs), reply.(*AssignReply))
}

// noReports are the reports of a fleet without requests in flight.
type noReports struct{}

// AtReplicas implements Reports.
func (noReports) AtReplicas(string) map[uint32]int { return nil }

// Heard implements Reports.
func (noReports) Heard(string, string) bool { return true }

// newTestClient returns a client whose service is busy, and the connection to the owner.
func newTestClient() (*Client, *testCalls, *replica.Set) {
	set := replica.NewSet("a", event.Discard())
	for n := range 4 {
		set.Put(replica.Record{ID: strconv.Itoa(n), Service: "s", Addr: "127.0.0.1:" + strconv.Itoa(n+1), Domain: "a", Slots: 2, Born: 1})
	}
	calls := &testCalls{owner: NewOwner(set, noReports{})}
	for range 4 {
		set.Choose(replica.Query{Service: "s"})
	}
	return NewClient(testHosts{}, calls, calls.owner, set), calls, set
}

// TestAssignedReplicaIsChosen guards against an assignment that is lost between the owner and the
// choice of a replica, and against one that does not end with its request.
func TestAssignedReplicaIsChosen(t *testing.T) {
	is := is.New(t)
	client, calls, set := newTestClient()
	q := replica.Query{Service: "s"}
	client.Assign(context.Background(), &q)
	is.True(q.Assigned != 0)
	lease := set.Choose(q)
	is.True(lease.IsAssigned())
	is.Equal(lease.Record().Incarnation().Hash(), q.Assigned)
	is.Equal(len(calls.owner.pools["s"].assignments), 1)
	lease.Done(replica.Answered, 1)
	client.reportEnds("s")
	is.Equal(len(calls.owner.pools["s"].assignments), 0)
}

// TestOwnerUnreachable guards against requests that fail, or wait again and again, because the owner
// of their service does not answer or is of an earlier build.
func TestOwnerUnreachable(t *testing.T) {
	is := is.New(t)
	client, calls, set := newTestClient()
	calls.err = errors.New("rpc: can't find service Balance.Assign")
	for range 3 {
		q := replica.Query{Service: "s"}
		client.Assign(context.Background(), &q)
		is.Equal(q.Assigned, uint32(0))
		is.True(set.Choose(q) != nil)
	}
	is.Equal(calls.calls, 1) // the next question follows later
	calls.err = nil
	time.Sleep(pauseAfterFailure)
	q := replica.Query{Service: "s"}
	client.Assign(context.Background(), &q)
	is.True(q.Assigned != 0)
}

// TestIdleServiceIsNotAssigned guards against a call for each request while nearly every replica has
// a free slot.
func TestIdleServiceIsNotAssigned(t *testing.T) {
	is := is.New(t)
	client, calls, _ := newTestClient()
	q := replica.Query{Service: "other"}
	client.Assign(context.Background(), &q)
	is.Equal(q.Assigned, uint32(0))
	is.Equal(calls.calls, 0)
}
