package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// replicas returns a snapshot of replicas that have sent no load report.
func replicas(count int) sched.Snapshot {
	var s sched.Snapshot
	for i := range count {
		s.Replicas = append(s.Replicas, sched.Replica{ID: structs.ReplicaID(fmt.Sprintf("r%02d", i))})
	}
	return s
}

func call(number int, account string) *sched.Call {
	return &sched.Call{
		ID: structs.CallID(fmt.Sprintf("c%d", number)), Account: structs.AccountID(account),
		Weight: 1, PromptTokens: 100, MaxTokens: 100,
	}
}

// drawCall generates a call from small sets of programs, prefixes and replicas, so
// that they recur.
func drawCall(t *rapid.T, number int, s sched.Snapshot) *sched.Call {
	c := call(number, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"))
	c.Weight = rapid.Float64Range(0.5, 4).Draw(t, "weight")
	c.Program = rapid.Uint64Range(0, 6).Draw(t, "program")
	c.Prefix = rapid.Uint64Range(0, 2).Draw(t, "prefix")
	c.PromptTokens = rapid.Int64Range(1, 50_000).Draw(t, "prompt")
	c.Attained = rapid.Int64Range(0, 100_000).Draw(t, "attained")
	for _, r := range s.Replicas {
		if rapid.IntRange(0, 5).Draw(t, "excluded") == 0 {
			c.Exclude = append(c.Exclude, r.ID)
		}
	}
	if rapid.Bool().Draw(t, "held") {
		c.Holders = []structs.ReplicaID{rapid.SampledFrom(s.Replicas).Draw(t, "holder").ID}
	}
	return c
}

// TestNeverLeavingOrExcluded guards against calls assigned to a replica that is
// leaving, full or excluded, and against a call that is started twice.
func TestNeverLeavingOrExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := replicas(4)
		for i := range s.Replicas {
			s.Replicas[i].Leaving = rapid.Bool().Draw(t, "leaving")
			s.Replicas[i].Slots = rapid.IntRange(1, 4).Draw(t, "slots")
		}
		policy := sched.NewFair(sched.DefaultSettings())
		for i := range rapid.IntRange(1, 30).Draw(t, "calls") {
			policy.Enqueue(drawCall(t, i, s), 0)
		}
		started := make(map[structs.CallID]bool)
		inFlight := make(map[structs.ReplicaID]int)
		for a, ok := policy.Next(s, time.Hour); ok; a, ok = policy.Next(s, time.Hour) {
			checkAssignment(t, s, a)
			inFlight[a.Replica]++
			if started[a.Call.ID] {
				t.Fatalf("call %s started twice", a.Call.ID)
			}
			started[a.Call.ID] = true
		}
		for _, r := range s.Replicas {
			if inFlight[r.ID] > r.Slots {
				t.Fatalf("%d calls in flight at replica %s with %d slots", inFlight[r.ID], r.ID, r.Slots)
			}
		}
	})
}

func checkAssignment(t *rapid.T, s sched.Snapshot, a sched.Assignment) {
	for _, r := range s.Replicas {
		if r.ID == a.Replica && r.Leaving {
			t.Fatalf("call assigned to leaving replica %s", r.ID)
		}
	}
	for _, id := range a.Call.Exclude {
		if id == a.Replica {
			t.Fatalf("call assigned to excluded replica %s", id)
		}
	}
}

// TestWorkConserving guards against an idle replica while a call that may run there is
// queued. CacheWait is 0, so that no call waits for the replica with its cache.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := replicas(3)
		settings := sched.DefaultSettings()
		settings.CacheWait = 0
		policy := sched.NewFair(settings)
		waiting := make(map[structs.CallID]*sched.Call)
		for i := range rapid.IntRange(1, 20).Draw(t, "calls") {
			c := drawCall(t, i, s)
			waiting[c.ID] = c
			policy.Enqueue(c, 0)
		}
		busy := make(map[structs.ReplicaID]bool)
		for a, ok := policy.Next(s, 0); ok; a, ok = policy.Next(s, 0) {
			delete(waiting, a.Call.ID)
			busy[a.Replica] = true
		}
		for _, r := range s.Replicas {
			for _, c := range waiting {
				if !busy[r.ID] && len(c.Exclude) == 0 {
					t.Fatalf("replica %s is idle while call %s is waiting", r.ID, c.ID)
				}
			}
		}
		if policy.Waiting() != len(waiting) {
			t.Fatalf("Waiting() = %d, want %d", policy.Waiting(), len(waiting))
		}
	})
}

// TestCacheWaitIsBounded guards against a call that waits forever for the replica with its
// cache.
func TestCacheWaitIsBounded(t *testing.T) {
	is := is.New(t)
	s := replicas(2)
	s.Replicas[0].Slots, s.Replicas[1].Slots = 1, 1
	settings := sched.DefaultSettings()
	policy := sched.NewFair(settings)
	first := call(1, "a")
	first.Program, first.PromptTokens = 7, 12_000
	policy.Enqueue(first, 0)
	started, ok := policy.Next(s, 0)
	is.True(ok)
	second := call(2, "a")
	second.Program, second.PromptTokens = 7, 12_000
	policy.Enqueue(second, 0)
	limit := time.Duration(settings.CacheWait * 12_000 / settings.PrefillRate * float64(time.Second))
	_, ok = policy.Next(s, limit-time.Millisecond)
	is.True(!ok) // waits for the replica with its program's cache
	moved, ok := policy.Next(s, limit)
	is.True(ok)
	is.True(moved.Replica != started.Replica)
}

// serve runs count calls of equal length on a pool with a single slot, keeps the
// queue of each account filled, and returns the number of calls served per account.
func serve(policy sched.Policy, weights map[string]float64, count int) map[structs.AccountID]int {
	s := replicas(1)
	s.Replicas[0].Slots = 1
	served := make(map[structs.AccountID]int)
	number := 0
	add := func(account string) {
		number++
		c := call(number, account)
		c.Weight = weights[account]
		policy.Enqueue(c, 0)
	}
	for _, account := range []string{"a", "b", "c"} {
		add(account)
		add(account)
	}
	for range count {
		a, _ := policy.Next(s, 0)
		served[a.Call.Account]++
		result := sched.CallResult{Answered: true, PromptTokens: 100, CompletionTokens: 100, FirstToken: time.Second, Total: 2 * time.Second}
		policy.Done(a.Call.ID, result, 0)
		add(string(a.Call.Account))
	}
	return served
}

// TestWeightedShares guards against an account that gets more or less than its
// weighted share while all accounts have calls waiting. Start-time fair queueing
// differs from the exact share by at most the cost of one call per account.
func TestWeightedShares(t *testing.T) {
	is := is.New(t)
	served := serve(sched.NewFair(sched.DefaultSettings()), map[string]float64{"a": 1, "b": 2, "c": 4}, 700)
	within := func(got, want int) bool { return got >= want-3 && got <= want+3 }
	is.True(within(served["a"], 100))
	is.True(within(served["b"], 200))
	is.True(within(served["c"], 400))
}

// TestIdleAccountSavesNoCredit guards against an account that takes all capacity
// after an idle period and starves the others.
func TestIdleAccountSavesNoCredit(t *testing.T) {
	is := is.New(t)
	s := replicas(1)
	s.Replicas[0].Slots = 1
	policy := sched.NewFair(sched.DefaultSettings())
	for i := range 200 {
		policy.Enqueue(call(i, "steady"), 0)
	}
	served := make(map[structs.AccountID]int)
	for i := range 120 {
		if i == 100 {
			for j := range 100 {
				policy.Enqueue(call(1000+j, "late"), 0)
			}
			clear(served)
		}
		a, _ := policy.Next(s, 0)
		served[a.Call.Account]++
		policy.Done(a.Call.ID, sched.CallResult{Answered: true, PromptTokens: 100, CompletionTokens: 100}, 0)
	}
	is.True(served["late"] >= 9 && served["late"] <= 11)
}

// TestAgeingBoundsWait guards against a long program that is starved by short ones:
// once it has waited attained/ageing longer than a new program, it must run first.
func TestAgeingBoundsWait(t *testing.T) {
	is := is.New(t)
	s := replicas(1)
	s.Replicas[0].Slots = 1
	settings := sched.DefaultSettings()
	policy := sched.NewFair(settings)
	long := call(0, "a")
	long.Attained = 20_000
	policy.Enqueue(long, 0)
	bound := time.Duration(float64(long.Attained) / settings.AgeingRate * float64(time.Second))
	for now := time.Duration(0); now <= bound+time.Second; now += 100 * time.Millisecond {
		short := call(1+int(now/time.Millisecond), "a")
		short.Arrived = now
		policy.Enqueue(short, now)
		a, ok := policy.Next(s, now)
		is.True(ok)
		policy.Done(a.Call.ID, sched.CallResult{}, now)
		if a.Call == long {
			return
		}
	}
	t.Fatalf("the long program is still waiting after %s", bound)
}

// TestLoadCorrection guards against ignoring calls that this dispatcher sent after
// the last report, and against counting its calls twice once a report includes them.
func TestLoadCorrection(t *testing.T) {
	is := is.New(t)
	s := replicas(2)
	for i := range s.Replicas {
		s.Replicas[i].Reported = true
	}
	s.Replicas[1].Running = 2 // calls sent by other dispatchers
	policy := sched.NewFair(sched.DefaultSettings())
	counts := make(map[structs.ReplicaID]int)
	send := func(from, to int, now time.Duration) {
		for i := from; i < to; i++ {
			policy.Enqueue(call(i, "a"), now)
			a, ok := policy.Next(s, now)
			is.True(ok)
			counts[a.Replica]++
		}
	}
	send(0, 4, time.Second)
	is.Equal(counts["r00"], 3) // loads 3 and 2+1
	s.Replicas[0].Running, s.Replicas[1].Running = 3, 3
	s.Replicas[0].ReportedAt, s.Replicas[1].ReportedAt = 2*time.Second, 2*time.Second
	send(4, 8, 3*time.Second)
	is.Equal(counts["r00"], 5) // loads 5 and 2+3
}

// TestDeterminism guards against decisions that depend on map iteration order.
func TestDeterminism(t *testing.T) {
	run := func() string {
		text := ""
		policy := sched.NewFair(sched.DefaultSettings())
		for i := range 300 {
			c := call(i, fmt.Sprintf("account-%d", i%17))
			c.Program = uint64(i % 50)
			policy.Enqueue(c, 0)
		}
		s := replicas(8)
		for a, ok := policy.Next(s, 0); ok; a, ok = policy.Next(s, 0) {
			text += fmt.Sprintln(a.Call.ID, a.Replica)
		}
		return text
	}
	is := is.New(t)
	is.Equal(run(), run())
}

// BenchmarkNext measures one scheduling decision plus the completion of the call,
// with a full queue.
func BenchmarkNext(b *testing.B) {
	for _, count := range []int{8, 64} {
		for _, waiting := range []int{100, 1000} {
			b.Run(fmt.Sprintf("replicas=%d/waiting=%d", count, waiting), func(b *testing.B) {
				benchmarkNext(b, replicas(count), waiting)
			})
		}
	}
}

func benchmarkNext(b *testing.B, s sched.Snapshot, waiting int) {
	policy := sched.NewFair(sched.DefaultSettings())
	number := 0
	add := func() {
		number++
		c := call(number, fmt.Sprintf("account-%d", number%8))
		c.Program = uint64(number % 5000)
		c.Attained = int64(number*7919) % 50_000
		policy.Enqueue(c, 0)
	}
	for range waiting {
		add()
	}
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		a, ok := policy.Next(s, now)
		if !ok {
			b.Fatal("no decision")
		}
		policy.Done(a.Call.ID, sched.CallResult{}, now)
		add()
	}
}
