package turns_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// backedUpOwners are owners that copy their grants to each other.
type backedUpOwners struct {
	network *network
	log     *storelog.Memory
}

func newBackedUpOwners() *backedUpOwners {
	return &backedUpOwners{&network{owners: make(map[int64]*turns.Owner)}, storelog.NewMemory()}
}

// add starts the owner of a host.
func (b *backedUpOwners) add(id string) (*turns.Owner, peers.Host) {
	o, h := b.addWithoutBackup(id)
	o.SetBackups(networkBackups{b.network, turns.WriterOf(h)})
	return o, h
}

// addWithoutBackup starts the owner of a host that copies its grants nowhere.
func (b *backedUpOwners) addWithoutBackup(id string) (*turns.Owner, peers.Host) {
	h := peers.Host{ID: id, Incarnation: 1}
	o := turns.NewOwner(h, b.log, b.network, 8, event.Discard())
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.network.owners[turns.WriterOf(h)] = o
	return o, h
}

// lose ends an owner.
func (b *backedUpOwners) lose(h peers.Host) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	delete(b.network.owners, turns.WriterOf(h))
}

const copiedBudget = 1500

// runTurns begins three turns of program p, of which the first one ends and the last one has no record.
func runTurns(t *testing.T, o *turns.Owner) {
	t.Helper()
	is := is.New(t)
	is.Equal(begin(t, o, "u0", "", copiedBudget).Outcome, turns.Granted)
	is.True(o.End(deadline(t, time.Second), ended("u0", "", 100)).Kept)
	is.Equal(begin(t, o, "u1", "", copiedBudget).Outcome, turns.Granted)
	is.True(o.End(deadline(t, time.Second), ended("u1", "", 100)).Kept)
	is.True(begin(t, o, "u2", "", copiedBudget).Granter != 0)
}

// TestLostOwnersGrantsAreKnown guards against a program that is told that its budget is spent because its owner
// was lost between two turns that followed each other closely.
func TestLostOwnersGrantsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := newBackedUpOwners()
		first, host := owners.add("a")
		second, _ := owners.add("b")
		runTurns(t, first)
		owners.lose(host)
		is.Equal(300+grantAll(t, copiedBudget, second), copiedBudget) // the open turn counts in full
		time.Sleep(pause)
	})
}

// TestPausedOwnerGrantsNothingAfterSeal guards against a budget that is exceeded by an owner that was
// paused while another one took its programs over.
func TestPausedOwnerGrantsNothingAfterSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := newBackedUpOwners()
		first, _ := owners.add("a")
		second, _ := owners.add("b")
		runTurns(t, first)
		owners.network.silent = true
		is.Equal(300+grantAll(t, copiedBudget, second), copiedBudget)
		for n := range 3 {
			is.Equal(begin(t, first, "v"+strconv.Itoa(n), "", copiedBudget).Outcome, turns.Exhausted)
		}
		time.Sleep(pause)
	})
}

// TestTurnBeginsWithoutBackup guards against turns that are refused, or granted without a record or a copy, because the
// backup of their owner is lost.
func TestTurnBeginsWithoutBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := newBackedUpOwners()
		first, firstHost := owners.add("a")
		_, backup := owners.add("b")
		runTurns(t, first)
		owners.lose(backup)
		third, _ := owners.add("c")
		reply := begin(t, first, "v0", "", copiedBudget)
		is.Equal(reply.Outcome, turns.Granted)
		is.Equal(reply.Granter, int64(0))
		is.True(first.End(deadline(t, time.Second), ended("u2", "", 100)).Kept)
		is.True(first.End(deadline(t, time.Second), ended("v0", "", 100)).Kept)
		// Another backup has taken its place.
		is.Equal(begin(t, first, "v1", "", copiedBudget).Outcome, turns.Granted)
		is.True(begin(t, first, "v2", "", copiedBudget).Granter != 0)
		owners.lose(firstHost)
		is.Equal(600+grantAll(t, copiedBudget, third), copiedBudget)
		time.Sleep(pause)
	})
}

// TestTakeOverIsStored guards against a program that pauses while its owner and then the backup are lost.
func TestTakeOverIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := newBackedUpOwners()
		first, firstHost := owners.add("a")
		second, secondHost := owners.add("b")
		runTurns(t, first)
		owners.lose(firstHost)
		all := func(int) bool { return true }
		second.Preload(context.Background(), all)
		second.TakeOver(context.Background(), all)
		time.Sleep(pause)
		owners.lose(secondHost)
		third, _ := owners.add("c")
		is.Equal(300+grantAll(t, copiedBudget, third), copiedBudget)
		time.Sleep(pause)
	})
}

// TestUnresolvedBudgetIsRetried guards against programs that are told that their budget is spent while it is not
// known yet what an owner that is lost or paused has granted.
func TestUnresolvedBudgetIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := newBackedUpOwners()
		first, host := owners.addWithoutBackup("a")
		second, _ := owners.add("b")
		second.ObserveHosts([]peers.Host{host})
		is.Equal(begin(t, first, "u0", "", 700).Outcome, turns.Granted)
		is.Equal(begin(t, first, "u1", "", 700).Outcome, turns.Granted)
		owners.network.partitioned = true
		is.Equal(200+grantAll(t, 700, second), 600) // one turn that is preallocated is not granted
		refused := begin(t, second, "v0", "", 700)
		is.Equal(refused.Outcome, turns.Exhausted)
		is.Equal(refused.RetryMS, int64(1000))
		// A turn that does not fit in any case is refused for good.
		is.Equal(second.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: "p", Turn: "v1", Budget: 700, MaxTokens: 300,
			RetentionMS: 60_000}).RetryMS, int64(0))
		owners.lose(host)
		host.Incarnation++
		second.ObserveHosts([]peers.Host{host})
		refused = begin(t, second, "v0", "", 700)
		is.True(refused.RetryMS > 4500 && refused.RetryMS <= 5000)
		owners.network.partitioned, owners.network.detectsLosses = false, true
		time.Sleep(5 * time.Second)
		is.Equal(begin(t, second, "v0", "", 700).Outcome, turns.Granted)
		is.Equal(begin(t, second, "v2", "", 700).RetryMS, int64(0))
		time.Sleep(pause)
	})
}

// TestRemovedHostsPreallocationIsForgiven guards against a budget of which a part is missing for good because the host that
// had preallocated it never returned.
func TestRemovedHostsPreallocationIsForgiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := newBackedUpOwners()
		first, host := owners.add("a")
		is.Equal(begin(t, first, "u0", "", 600).Outcome, turns.Granted)
		owners.lose(host)
		second, _ := owners.add("b")
		second.ObserveHosts([]peers.Host{host})
		is.Equal(100+grantAll(t, 600, second), 500)
		time.Sleep(time.Minute)
		second.ObserveHosts(nil)
		is.Equal(begin(t, second, "v0", "", 600).Outcome, turns.Granted)
	})
}
