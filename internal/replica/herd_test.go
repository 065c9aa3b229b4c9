package replica

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

const (
	herdHosts    = 82
	herdReplicas = 44
	herdSlots    = 6
	herdReport   = 200 * time.Millisecond
)

// herdStep is something that happens at a time after the start of a simulation.
type herdStep struct {
	at time.Duration
	do func()
}

type herdSteps []herdStep

func (s herdSteps) Len() int           { return len(s) }
func (s herdSteps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s herdSteps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *herdSteps) Push(x any)        { *s = append(*s, x.(herdStep)) }
func (s *herdSteps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// herd is a fleet of hosts that send turns of 0.1 to 0.4 s to replicas, and report what they have
// in flight as real hosts do.
type herd struct {
	random   *rand.Rand
	hosts    []*Set
	reports  []map[uint32]uint16
	steps    herdSteps
	now      time.Duration
	choose   func(*Set) *Lease
	present  map[string]int
	running  map[string]int
	queues   map[string][]func()
	turns    int
	full     int
	waited   time.Duration
	chosen   map[string]int
	measures time.Duration // the time from which on turns are counted
	slowness map[string]float64
	silent   int // the number of hosts that do not report
}

func newHerd(seed uint64, choose func(*Set) *Lease) *herd {
	h := &herd{random: rand.New(rand.NewPCG(seed, 0)), choose: choose, present: make(map[string]int),
		running: make(map[string]int), queues: make(map[string][]func()), chosen: make(map[string]int),
		measures: 2 * time.Second, slowness: make(map[string]float64)}
	for range herdHosts {
		h.hosts = append(h.hosts, NewSet("z", event.Discard()))
		h.reports = append(h.reports, nil)
	}
	for n := range herdReplicas {
		h.add(strconv.Itoa(n))
	}
	return h
}

// add adds a replica at all hosts.
func (h *herd) add(id string) {
	for _, s := range h.hosts {
		s.Put(Record{ID: id, Service: "s", Addr: "10.0.0.1:80", Domain: "z", Slots: herdSlots, Born: 1})
	}
}

func (h *herd) after(d time.Duration, do func()) { heap.Push(&h.steps, herdStep{h.now + d, do}) }

// run simulates the given time with turns that take up a share of the slots.
func (h *herd) run(load float64, length time.Duration) {
	gap := 250 * time.Millisecond / time.Duration(herdReplicas*herdSlots)
	var arrive func()
	arrive = func() {
		h.arrive(h.random.IntN(herdHosts))
		h.after(time.Duration(h.random.ExpFloat64()*float64(gap)/load), arrive)
	}
	h.after(0, arrive)
	for host := range h.hosts[h.silent:] {
		var report func()
		report = func() { h.report(h.silent + host); h.after(herdReport, report) }
		h.after(time.Duration(h.random.Int64N(int64(herdReport))), report)
	}
	if h.silent < herdHosts {
		var tell func()
		tell = func() { h.tell(); h.after(herdReport, tell) }
		h.after(herdReport, tell)
	}
	for len(h.steps) > 0 && h.now < length {
		step := heap.Pop(&h.steps).(herdStep)
		time.Sleep(step.at - h.now)
		h.now = step.at
		step.do()
	}
}

func (h *herd) arrive(host int) {
	lease := h.choose(h.hosts[host])
	id := lease.Record().ID
	if h.now > h.measures {
		h.turns++
		h.chosen[id]++
		if h.present[id] >= herdSlots {
			h.full++
		}
	}
	h.present[id]++
	arrived := h.now
	start := func() {
		if arrived > h.measures {
			h.waited += h.now - arrived
		}
		h.running[id]++
		took := 100*time.Millisecond + time.Duration(h.random.Int64N(int64(300*time.Millisecond)))
		if slow := h.slowness[id]; slow > 0 {
			took = time.Duration(slow * float64(took))
		}
		lease.FirstByte()
		h.after(took, func() { h.end(id, lease) })
	}
	if h.running[id] < herdSlots {
		start()
		return
	}
	h.queues[id] = append(h.queues[id], start)
}

func (h *herd) end(id string, lease *Lease) {
	lease.Done(Answered, 4)
	h.present[id]--
	h.running[id]--
	if queue := h.queues[id]; len(queue) > 0 {
		h.queues[id] = queue[1:]
		queue[0]()
	}
}

// report sends what a host has in flight to the owner of the service.
func (h *herd) report(host int) {
	h.reports[host] = make(map[uint32]uint16)
	for _, load := range h.hosts[host].InFlight() {
		for incarnation, n := range load.Replicas {
			h.reports[host][incarnation.Hash()] = uint16(n)
		}
	}
}

// tell sends the totals to all hosts.
func (h *herd) tell() {
	totals := make(map[uint32]uint16)
	for _, report := range h.reports {
		for hash, n := range report {
			totals[hash] += n
		}
	}
	for _, s := range h.hosts {
		s.LearnFleetInFlight(NameHash("s"), totals)
	}
}

// share returns the share of the turns that found all slots of their replica in use.
func (h *herd) share() float64 { return float64(h.full) / float64(h.turns) }

// wait returns the mean wait for a slot.
func (h *herd) wait() time.Duration { return h.waited / time.Duration(h.turns) }

var herdQuery = Query{Service: "s", Class: "c", Work: Work{TokensPerEvent: 17, ExpectedTokens: 68, MaxTokens: 256}}

// chooseLowestView is best of all by the last view, with the jitter of equal scores.
func chooseLowestView(s *Set) *Lease {
	return s.chooseBy(func(r *Replica) float64 { return r.others + float64(r.inflight) + jitter*rand.Float64() }, herdReplicas)
}

// chooseOfTwo is the lower of two random replicas by the last view.
func chooseOfTwo(s *Set) *Lease {
	return s.chooseBy(func(r *Replica) float64 { return r.others + float64(r.inflight) + jitter*rand.Float64() }, 2)
}

// chooseBy leases the replica with the lowest score among count random ones.
func (s *Set) chooseBy(score func(*Replica) float64, count int) *Lease {
	s.mu.Lock()
	replicas := s.services["s"]
	var best *Replica
	lowest := 0.0
	for _, n := range rand.Perm(len(replicas))[:count] {
		if v := score(replicas[n]); best == nil || v < lowest {
			best, lowest = replicas[n], v
		}
	}
	id := best.record.ID
	s.mu.Unlock()
	return s.Choose(Query{Service: "s", Class: "c", Only: id})
}

// TestStaleViewsDoNotHerd guards against 82 hosts that all send their turns to the replica that
// looked idle 0.2 to 0.4 s ago. It compares the choice with the alternatives that were weighed.
func TestStaleViewsDoNotHerd(t *testing.T) {
	for _, c := range []struct {
		load, maxShare float64
		maxWait        time.Duration
	}{{0.75, 0.39, 40 * time.Millisecond}, {0.95, 0.84, 180 * time.Millisecond}} {
		measure := func(choose func(*Set) *Lease) (share float64, wait time.Duration) {
			synctest.Test(t, func(*testing.T) {
				h := newHerd(1, choose)
				h.run(c.load, 16*time.Second)
				share, wait = h.share(), h.wait()
			})
			return share, wait
		}
		share, wait := measure(func(s *Set) *Lease { return s.Choose(herdQuery) })
		lowest, lowestWait := measure(chooseLowestView)
		two, twoWait := measure(chooseOfTwo)
		t.Logf("load %.2f: %.3f find a full replica, mean wait %v; lowest view %.3f, %v; two choices %.3f, %v",
			c.load, share, wait, lowest, lowestWait, two, twoWait)
		is := is.New(t)
		is.True(share < c.maxShare && wait < c.maxWait)
		is.True(share < lowest && 3*wait < lowestWait)
		is.True(c.load > 0.9 || share < two && wait < twoWait) // nearly all replicas are full at 0.95
	}
}

// TestMissingReports guards against hosts without totals that herd. Of random choices, 0.41 would find a
// full replica; what hosts learn of latency alone adds some.
func TestMissingReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHerd(1, func(s *Set) *Lease { return s.Choose(herdQuery) })
		h.silent = herdHosts
		h.run(0.75, 12*time.Second)
		t.Logf("%.3f find a full replica", h.share())
		is.New(t).True(h.share() < 0.5)
	})
}

// TestSomeReportsMissing guards against herding onto the replicas of which only hosts of an earlier
// build use a part.
func TestSomeReportsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHerd(1, func(s *Set) *Lease { return s.Choose(herdQuery) })
		h.silent = herdHosts / 2
		h.run(0.75, 12*time.Second)
		t.Logf("%.3f find a full replica", h.share())
		is.New(t).True(h.share() < 0.45)
	})
}

// TestEmptyReplicaJoins guards against all hosts that send their turns to a replica that has just
// joined and is empty.
func TestEmptyReplicaJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHerd(1, func(s *Set) *Lease { return s.Choose(herdQuery) })
		most := 0
		h.after(5*time.Second, func() { h.add("new") })
		for at := 5 * time.Second; at < 8*time.Second; at += 10 * time.Millisecond {
			h.after(at, func() { most = max(most, h.present["new"]) })
		}
		h.run(0.75, 10*time.Second)
		t.Logf("at most %d turns, %d in all", most, h.chosen["new"])
		is.New(t).True(most <= 3*herdSlots && h.chosen["new"] > 40)
	})
}

// TestSlowMachineInFleet guards against a queue at one slow machine: each host sees it too rarely to learn
// its pace, but the totals show what is left there.
func TestSlowMachineInFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHerd(1, func(s *Set) *Lease { return s.Choose(herdQuery) })
		h.slowness["5"] = 3
		h.run(0.75, 12*time.Second)
		even := h.turns / herdReplicas
		t.Logf("%d turns, an even share is %d", h.chosen["5"], even)
		is.New(t).True(h.chosen["5"] < even/2)
	})
}
