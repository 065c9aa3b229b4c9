package turns_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// network is a turns.Peers of owners that are lost, replaced and partitioned at random.
type network struct {
	mu          sync.Mutex
	owners      map[int64]*turns.Owner
	partitioned bool
	// silent is set if owners do not answer to a Release, as if they were paused, and reach their backups.
	silent bool
	// detectsLosses is set if owners detect the loss of others.
	detectsLosses bool
}

func (n *network) Release(_ context.Context, args turns.ReleaseArgs) (turns.ReleaseReply, turns.Presence) {
	n.mu.Lock()
	owner, cut := n.owners[args.Writer], n.partitioned || n.silent
	n.mu.Unlock()
	switch {
	case cut:
		return turns.ReleaseReply{}, turns.Unreachable
	case owner != nil:
		reply, _ := owner.Release(args)
		return reply, turns.Present
	case n.detectsLosses:
		return turns.ReleaseReply{}, turns.Terminated
	default:
		return turns.ReleaseReply{}, turns.Unreachable
	}
}

// networkBackups are the backups of the owner self: the other owners of a network.
type networkBackups struct {
	*network
	self int64
}

func (b networkBackups) Choose(_ int, usable func(int64) bool) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen := int64(0)
	for writer := range b.owners {
		if writer != b.self && usable(writer) && (chosen == 0 || writer < chosen) {
			chosen = writer
		}
	}
	return chosen
}

func (b networkBackups) Keep(_ context.Context, args turns.KeepArgs) turns.KeepOutcome {
	backup := b.reachable(args.Backup)
	switch {
	case backup == nil:
		return turns.KeepFailed
	case backup.Keep(args):
		return turns.Kept
	default:
		return turns.KeepRefused
	}
}

func (b networkBackups) Seal(_ context.Context, args turns.SealArgs) (turns.SealReply, bool) {
	if backup := b.reachable(args.Backup); backup != nil {
		return backup.Seal(args)
	}
	return turns.SealReply{}, false
}

// reachable returns an owner, or nil if it is lost or the network is partitioned.
func (b networkBackups) reachable(writer int64) *turns.Owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.partitioned {
		return nil
	}
	return b.owners[writer]
}

// budgetSimulation simulates one program that never ends over several owners, while the
// store fails and owners are lost. Every granted turn generates its tokens; some hosts that
// serve a turn are lost with it and never settle it.
type budgetSimulation struct {
	random  *rand.Rand
	log     *storelog.Memory
	network *network
	owners  []*turns.Owner
	hosts   []peers.Host
	// next is the number of the next turn; open holds the granted turns that have not ended.
	next int
	open []openTurn
	// tellsGranter is set if settlements name the owner that granted the turn.
	tellsGranter bool
	// detectsLosses is set if owners detect the loss of others.
	detectsLosses bool
	// hasBackups is set if the owners copy their grants to each other.
	hasBackups bool
	// tokensSent is the number of tokens sent to the caller; open turns count with their
	// maximum.
	tokensSent int
}

// openTurn is a granted turn that has not ended, and the owner that granted it without a record.
type openTurn struct {
	id      string
	granter int64
}

const (
	programBudget = 1500
	maxTurnTokens = 100
)

func (r *budgetSimulation) replace(n int) {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	delete(r.network.owners, turns.WriterOf(r.hosts[n]))
	r.hosts[n] = peers.Host{ID: strconv.Itoa(n), Incarnation: incarnations.Add(1)}
	r.owners[n] = turns.NewOwner(r.hosts[n], r.log, r.network, 8, event.Discard())
	if r.hasBackups {
		r.owners[n].SetBackups(networkBackups{r.network, turns.WriterOf(r.hosts[n])})
	}
	r.network.owners[turns.WriterOf(r.hosts[n])] = r.owners[n]
}

func (r *budgetSimulation) begin(t *testing.T) {
	id := "t" + strconv.Itoa(r.next)
	r.next++
	owner := r.owners[r.random.IntN(len(r.owners))]
	args := turns.BeginArgs{Account: "a", Program: "p", Turn: id, Budget: programBudget, MaxTokens: maxTurnTokens, RetentionMS: 600_000}
	if reply := owner.Begin(deadline(t, 300*time.Millisecond), args); reply.Outcome == turns.Granted {
		r.open = append(r.open, openTurn{id, reply.Granter})
		r.tokensSent += maxTurnTokens
	}
}

func (r *budgetSimulation) settle() {
	if len(r.open) == 0 {
		return
	}
	open := r.open[0]
	r.open = r.open[1:]
	if r.random.IntN(4) == 0 {
		return // the host that served the turn is lost
	}
	used := r.random.IntN(maxTurnTokens)
	r.tokensSent -= maxTurnTokens - used
	turn := ended(open.id, "", used)
	if r.tellsGranter {
		turn.Granter, turn.Reserved = open.granter, maxTurnTokens
	}
	turn.Expiry = time.Now().Add(time.Hour).UnixMilli()
	if r.random.IntN(3) == 0 {
		turn.State, turn.Input, turn.Output = turns.Closed, nil, nil
	}
	go func() { // retried until it is stored, as hosts do
		for range 100 {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			kept := r.owners[0].End(ctx, turn).Kept
			cancel()
			if kept {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

func (r *budgetSimulation) step(t *testing.T) {
	switch r.random.IntN(16) {
	case 0:
		r.replace(1 + r.random.IntN(len(r.owners)-1))
	case 1:
		r.log.SetFault(down)
	case 2:
		lost := r.random.IntN(3)
		r.log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
			if lost--; call == "append" && lost <= 0 {
				lost = 3
				return storelog.ErrUnknown, true
			}
			return nil, false
		})
	case 3, 4:
		r.log.SetFault(nil)
	case 5:
		r.network.mu.Lock()
		if r.hasBackups && r.random.IntN(2) == 0 {
			r.network.silent = !r.network.silent
		} else {
			r.network.partitioned = !r.network.partitioned
		}
		r.network.mu.Unlock()
	case 6, 7, 8, 9:
		r.settle()
	default:
		r.begin(t)
	}
	time.Sleep(time.Duration(r.random.IntN(300)) * time.Millisecond)
}

// TestBudgetOverLostAndMovedOwners guards against a program that gets more tokens than its
// budget because owners are lost, moved, or cut off from the store or from each other, in
// any order.
func TestBudgetOverLostAndMovedOwners(t *testing.T) {
	simulateBudgets(t, budgetSimulation{}, programBudget)
}

// TestBudgetOverKnownLosses does the same with owners that detect the loss of others. The
// preallocations of lost owners are then forgiven, up to the maximum of one turn.
func TestBudgetOverKnownLosses(t *testing.T) {
	simulateBudgets(t, budgetSimulation{detectsLosses: true}, programBudget+maxTurnTokens)
}

// TestBudgetOverGrantsSettledElsewhere does the same with settlements that name the owner that granted the
// turn, whose preallocation then counts as much less.
func TestBudgetOverGrantsSettledElsewhere(t *testing.T) {
	simulateBudgets(t, budgetSimulation{tellsGranter: true}, programBudget)
	simulateBudgets(t, budgetSimulation{tellsGranter: true, detectsLosses: true}, programBudget+maxTurnTokens)
}

// TestBudgetWithCopiedGrants does the same with owners that copy to each other what they grant without a record.
func TestBudgetWithCopiedGrants(t *testing.T) {
	simulateBudgets(t, budgetSimulation{tellsGranter: true, hasBackups: true}, programBudget)
	simulateBudgets(t, budgetSimulation{tellsGranter: true, hasBackups: true, detectsLosses: true}, programBudget+maxTurnTokens)
}

// simulateBudgets runs simulations of a kind in which at most limit tokens may be sent to the caller.
func simulateBudgets(t *testing.T, kind budgetSimulation, limit int) {
	t.Helper()
	granted := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := kind
			r.random, r.log = rand.New(rand.NewPCG(seed, 1)), storelog.NewMemory()
			r.network = &network{owners: make(map[int64]*turns.Owner), detectsLosses: kind.detectsLosses}
			r.owners, r.hosts = make([]*turns.Owner, 3), make([]peers.Host, 3)
			for n := range r.owners {
				r.replace(n)
			}
			for range 120 {
				r.step(t)
				if r.tokensSent > limit {
					t.Fatalf("seed %d: %d tokens sent, limit %d, after %d turns", seed, r.tokensSent, limit, r.next)
				}
			}
			granted += r.tokensSent
			r.log.SetFault(nil)
			time.Sleep(time.Minute)
			is.True(r.next > 0)
		})
	}
	if granted < 60*programBudget/2 {
		t.Fatalf("only %d tokens of 60 budgets were granted", granted)
	}
}
