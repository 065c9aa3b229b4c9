package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/replica"
)

const (
	testReplicas = 44
	testSlots    = 6
	turnTime     = 200 * time.Millisecond
)

func candidates() []replica.Candidate {
	list := make([]replica.Candidate, testReplicas)
	for n := range list {
		list[n] = replica.Candidate{Hash: uint32(n + 1), Domain: "a", Slots: testSlots}
	}
	return list
}

func none(uint32) int { return 0 }

// testRun drives a pool with turns that arrive at random. Ends reach the pool after endDelay.
type testRun struct {
	pool *Pool
	rng  *rand.Rand
	now  boottime.Instant
	// pace is how long turns take at a replica, as a multiple of turnTime; 1 if it is missing.
	pace map[uint32]float64
	ends map[boottime.Instant][]func()
	// count, full and total are the turns by replica, those that found no free slot, and all.
	count       map[uint32]int
	inFlight    map[uint32]int
	full, total int
}

func newTestRun(seed uint64) *testRun {
	return &testRun{pool: NewPool(), rng: rand.New(rand.NewPCG(seed, 1)), now: boottime.Instant(time.Hour), pace: make(map[uint32]float64),
		ends: make(map[boottime.Instant][]func()), count: make(map[uint32]int), inFlight: make(map[uint32]int)}
}

// run lets turns arrive at a load, given as a part of all slots.
func (r *testRun) run(d time.Duration, load float64) {
	perMS := load * testReplicas * testSlots / float64(turnTime.Milliseconds())
	untilNext := 0.0
	for range d.Milliseconds() {
		r.now = r.now.Add(time.Millisecond)
		for _, end := range r.ends[r.now] {
			end()
		}
		delete(r.ends, r.now)
		for untilNext -= perMS; untilNext < 0; untilNext += r.rng.ExpFloat64() {
			r.turn()
		}
	}
}

func (r *testRun) turn() {
	id := r.rng.Uint64()
	hash := r.pool.Assign(r.now, Request{ID: id, Host: "h", Domain: "a"}, candidates(), none)
	r.total++
	r.count[hash]++
	if r.inFlight[hash] >= testSlots {
		r.full++
	}
	r.inFlight[hash]++
	pace := r.pace[hash]
	if pace == 0 {
		pace = 1
	}
	end := r.now.Add((time.Duration(pace * (0.5 + r.rng.Float64()) * float64(turnTime))).Truncate(time.Millisecond))
	r.ends[end] = append(r.ends[end], func() { r.inFlight[hash]-- })
	r.ends[end.Add(endDelay)] = append(r.ends[end.Add(endDelay)], func() { r.pool.Answered(r.now, id, pace) })
}

// TestNoTurnWaitsBesideFreeSlots guards against turns that wait at one replica while others have free
// slots. Hosts that choose by views of 0.2 s find a third of the replicas full at 75% load.
func TestNoTurnWaitsBesideFreeSlots(t *testing.T) {
	for _, c := range []struct{ load, most float64 }{{0.75, 0.01}, {0.85, 0.05}} {
		is := is.New(t)
		r := newTestRun(1)
		r.run(10*time.Second, c.load)
		share := float64(r.full) / float64(r.total)
		t.Logf("load %v: %.4f of %d turns find a full replica", c.load, share, r.total)
		is.True(share <= c.most)
	}
}

// TestSlowMachineGetsFewerTurns guards against a machine that is slowed by other users and gets as
// many turns as the others.
func TestSlowMachineGetsFewerTurns(t *testing.T) {
	is := is.New(t)
	r := newTestRun(2)
	r.pace[7] = 2.5
	r.run(10*time.Second, 0.6)
	even := float64(r.total) / testReplicas
	t.Logf("%d turns at the slow replica, %.0f are an even share", r.count[7], even)
	is.True(float64(r.count[7]) < 0.5*even)
	// Other users stop: the replica gets its share again.
	r.pace[7] = 1
	r.run(2*paceLifetime, 0.6)
	r.count, r.total = make(map[uint32]int), 0
	r.run(10*time.Second, 0.6)
	is.True(float64(r.count[7]) > 0.7*float64(r.total)/testReplicas)
}

// TestEmptyReplicaIsNotOverrun guards against a burst of turns onto a replica that has just joined.
func TestEmptyReplicaIsNotOverrun(t *testing.T) {
	is := is.New(t)
	pool := NewPool()
	now := boottime.Instant(time.Hour)
	id := uint64(0)
	assign := func(list []replica.Candidate) uint32 {
		id++
		return pool.Assign(now, Request{ID: id, Host: "h", Domain: "a"}, list, none)
	}
	old := candidates()[:testReplicas-1]
	for range len(old) * testSlots {
		assign(old)
	}
	joined := 0
	for range 3 * testSlots {
		if assign(candidates()) == testReplicas {
			joined++
		}
	}
	is.True(joined >= testSlots && joined <= testSlots+2)
}

// TestPreferredReplicaUnlessFull guards against a turn that leaves the replica with its cached prompt
// although that has a free slot, and against one that waits there for its cache.
func TestPreferredReplicaUnlessFull(t *testing.T) {
	is := is.New(t)
	pool := NewPool()
	now := boottime.Instant(time.Hour)
	for n := range 2 * testSlots {
		hash := pool.Assign(now, Request{ID: uint64(n + 1), Host: "h", Domain: "a", Prefer: 5, Gain: 0.3}, candidates(), none)
		is.Equal(hash == 5, n < testSlots)
	}
}

// TestAssignmentsOfLostHostEnd guards against slots that stay occupied because the host that used
// them was lost, and against assignments of live hosts that are dropped.
func TestAssignmentsOfLostHostEnd(t *testing.T) {
	is := is.New(t)
	pool := NewPool()
	now := boottime.Instant(time.Hour)
	pool.Assign(now, Request{ID: 1, Host: "lost", Domain: "a"}, candidates()[:1], none)
	pool.Assign(now, Request{ID: 2, Host: "live", Domain: "a"}, candidates()[:1], none)
	now = now.Add(silentLifetime)
	pool.Sweep(now, func(host string) bool { return host == "live" })
	is.Equal(len(pool.assignments), 1)
	is.Equal(pool.state(1).assigned, 1)
	pool.Sweep(now.Add(assignmentLifetime), func(string) bool { return true })
	is.Equal(len(pool.assignments), 0)
}

// TestNewOwnerCountsReports guards against a new owner that assigns requests to replicas which are
// full of requests that an earlier owner has assigned.
func TestNewOwnerCountsReports(t *testing.T) {
	is := is.New(t)
	pool := NewPool()
	reported := func(hash uint32) int {
		if hash == 1 {
			return 0
		}
		return testSlots
	}
	for n := range testSlots {
		is.Equal(pool.Assign(boottime.Instant(time.Hour), Request{ID: uint64(n + 1), Host: "h", Domain: "a"}, candidates(), reported), uint32(1))
	}
}

// TestExcludedReplica guards against a replica that the host does not want, and against an assignment
// where there is no other.
func TestExcludedReplica(t *testing.T) {
	is := is.New(t)
	pool := NewPool()
	is.Equal(pool.Assign(1, Request{ID: 1, Exclude: []uint32{1}}, candidates()[:2], none), uint32(2))
	is.Equal(pool.Assign(1, Request{ID: 2, Exclude: []uint32{1, 2}}, candidates()[:2], none), uint32(0))
	is.Equal(len(pool.assignments), 1)
}
