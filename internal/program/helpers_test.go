package program_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// ownerHarness runs operations on a state as its owner does and applies each operation
// to a replica.
type ownerHarness struct {
	fail    func(format string, args ...any)
	state   *program.State
	replica *program.State
	evicted map[structs.Origin]bool
	self    structs.Origin
	elapsed time.Duration
}

func newOwner(fail func(format string, args ...any), limits program.Limits) *ownerHarness {
	return &ownerHarness{
		fail: fail, state: program.New(7, limits), replica: program.New(7, limits),
		evicted: make(map[structs.Origin]bool), self: origin("o", 1),
	}
}

func testOwner(t *testing.T) *ownerHarness {
	t.Helper()
	return newOwner(t.Fatalf, program.DefaultLimits)
}

func origin(host string, incarnation int) structs.Origin {
	return structs.Origin{Host: structs.HostID(host), Incarnation: structs.Incarnation(incarnation)}
}

func (o *ownerHarness) clock() structs.OwnerClock {
	return structs.OwnerClock{Owner: o.self, Now: epoch.Add(o.elapsed), Monotonic: o.elapsed}
}

func (o *ownerHarness) inView(origin structs.Origin) bool { return !o.evicted[origin] }

// apply applies an operation at the owner and the replica.
func (o *ownerHarness) apply(op []byte, err error) {
	if err != nil {
		o.fail("decide: %v", err)
	}
	if op == nil {
		return
	}
	if err := o.state.Apply(op); err != nil {
		o.fail("apply at the owner: %v", err)
	}
	if err := o.replica.Apply(op); err != nil {
		o.fail("apply at the replica: %v", err)
	}
}

func (o *ownerHarness) begin(req program.BeginRequest) program.BeginOutcome {
	outcome, err := o.state.DecideBegin(req, o.inView, o.clock())
	o.apply(outcome.Op, err)
	return outcome
}

func (o *ownerHarness) settle(req program.SettleRequest) error {
	op, err := o.state.DecideSettle(req, o.clock())
	if err == nil {
		o.apply(op, nil)
	}
	return err
}

func (o *ownerHarness) abandon() { o.apply(o.state.DecideAbandon(o.inView, o.clock())) }
func (o *ownerHarness) expire()  { o.apply(o.state.DecideExpire(o.inView, o.clock())) }

func (o *ownerHarness) open(req program.OpenRequest) program.OpenResult {
	result, op, err := o.state.DecideOpen(req, o.inView, o.clock())
	o.apply(op, err)
	return result
}

func (o *ownerHarness) close(req program.CloseRequest) error {
	op, err := o.state.DecideClose(req, o.clock())
	if err == nil {
		o.apply(op, nil)
	}
	return err
}

// failOver restores the state from a snapshot of the replica, at another owner whose
// monotonic clock is not comparable.
func (o *ownerHarness) failOver(limits program.Limits) {
	data, err := o.replica.Snapshot()
	if err != nil {
		o.fail("snapshot: %v", err)
	}
	fresh := program.New(7, limits)
	if err := fresh.Restore(data); err != nil {
		o.fail("restore: %v", err)
	}
	o.state = fresh
	o.self.Incarnation++
}

// compare fails the test if owner and replica differ.
func (o *ownerHarness) compare() {
	a, err := o.state.Snapshot()
	if err != nil {
		o.fail("snapshot: %v", err)
	}
	b, err := o.replica.Snapshot()
	if err != nil {
		o.fail("snapshot: %v", err)
	}
	if string(a) != string(b) {
		o.fail("owner and replica differ")
	}
}

func key(root, id string) program.Key {
	return program.Key{Account: "yard", Root: structs.ProgramID(root), Program: structs.ProgramID(id)}
}

func message(role, text string) structs.Message {
	content, _ := json.Marshal(text)
	return structs.Message{Role: role, Content: content}
}

func texts(history []structs.Message) string {
	out := ""
	for _, m := range history {
		out += fmt.Sprintf("%s:%s ", m.Role, m.Content)
	}
	return out
}
