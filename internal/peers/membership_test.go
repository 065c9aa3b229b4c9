package peers

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
)

// simulatedHost is one host of a simulated fleet.
type simulatedHost struct {
	table *Table
	host  Host
	// down hosts neither send nor receive; pausedUntil holds the end of a pause.
	down        bool
	pausedUntil boottime.Instant
	// group separates hosts: only those of the same group reach each other.
	group     int
	datagrams int
}

// arrival is a datagram in flight, or the next tick of a host if message is nil.
type arrival struct {
	at      boottime.Instant
	to      int
	message *Heartbeat
	group   int
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// simulatedFleet runs the tables of many hosts in virtual time.
type simulatedFleet struct {
	random *rand.Rand
	now    boottime.Instant
	hosts  []*simulatedHost
	queue  arrivals
	// loss is the fraction of datagrams that are lost.
	loss float64
}

// newSimulatedFleet starts n hosts within 300 ms, which read the records of all others, and
// runs them until they know each other.
func newSimulatedFleet(n int, seed uint64) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 7)), now: boottime.Instant(time.Hour), loss: 0.01}
	for i := range n {
		f.hosts = append(f.hosts, &simulatedHost{host: Host{ID: "host-" + strconv.Itoa(i), Incarnation: 1, Addr: strconv.Itoa(i)}})
		f.start(i)
	}
	f.run(5 * time.Second)
	return f
}

// start starts a host with an empty table and the records of all hosts.
func (f *simulatedFleet) start(i int) {
	h := f.hosts[i]
	h.down = false
	h.table = NewTable(h.host, func() bool { return true })
	h.table.now = func() boottime.Instant { return f.now }
	h.table.SetServing(true)
	for _, other := range f.hosts {
		h.table.HandleRecord(other.host)
		if other.table != nil {
			other.table.HandleRecord(h.host)
		}
	}
	heap.Push(&f.queue, arrival{at: f.now.Add(time.Duration(f.random.Int64N(int64(300 * time.Millisecond)))), to: i})
}

// restart starts the next incarnation of a host.
func (f *simulatedFleet) restart(i int) {
	f.hosts[i].host.Incarnation++
	f.start(i)
}

func (f *simulatedFleet) send(from int, d Datagram) {
	for _, to := range d.To {
		f.hosts[from].datagrams++
		if f.random.Float64() < f.loss {
			continue
		}
		index, err := strconv.Atoi(to.Addr)
		if err != nil {
			panic(err)
		}
		message := d.Message
		delay := time.Millisecond + time.Duration(f.random.Int64N(int64(2*time.Millisecond)))
		heap.Push(&f.queue, arrival{at: f.now.Add(delay), to: index, message: &message, group: f.hosts[from].group})
	}
}

// run advances the simulation.
func (f *simulatedFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(arrival)
		f.now = next.at
		h := f.hosts[next.to]
		if h.down {
			continue
		}
		if f.now < h.pausedUntil {
			next.at = h.pausedUntil
			if next.message == nil {
				heap.Push(&f.queue, next)
			}
			continue
		}
		if next.message != nil {
			if next.group != h.group {
				continue
			}
			if reply, _ := h.table.Handle(*next.message); reply != nil {
				f.send(next.to, *reply)
			}
			continue
		}
		for _, d := range h.table.Tick() {
			f.send(next.to, d)
		}
		heap.Push(&f.queue, arrival{at: f.now.Add(tickInterval), to: next.to})
	}
	f.now = end
}

// considers reports whether host i considers host j alive.
func (f *simulatedFleet) considers(i, j int) bool {
	_, alive := f.hosts[i].table.Counts()
	t := f.hosts[i].table
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[f.hosts[j].host.ID]
	return alive > 1 && m != nil && m.host.Incarnation == f.hosts[j].host.Incarnation && m.alive()
}

// disagreements returns the number of pairs of running hosts of one group where the first
// considers the second dead, and of pairs where it considers an unreachable one alive.
func (f *simulatedFleet) disagreements() (falselyDead, falselyAlive int) {
	for i, a := range f.hosts {
		if a.down {
			continue
		}
		for j, b := range f.hosts {
			if i == j {
				continue
			}
			reachable := !b.down && a.group == b.group && f.now >= b.pausedUntil
			switch alive := f.considers(i, j); {
			case reachable && !alive:
				falselyDead++
			case !reachable && alive:
				falselyAlive++
			}
		}
	}
	return falselyDead, falselyAlive
}

// requireAgreement requires that each running host considers just those alive that it can reach.
func (f *simulatedFleet) requireAgreement(is *is.I) {
	is.Helper()
	falselyDead, falselyAlive := f.disagreements()
	is.Equal(falselyDead, 0)
	is.Equal(falselyAlive, 0)
}

// detect runs until each running host considers host j dead, and returns the times that they
// needed, sorted.
func (f *simulatedFleet) detect(j int, limit time.Duration) []time.Duration {
	start := f.now
	var times []time.Duration
	seen := make(map[int]bool)
	for f.now.Sub(start) < limit {
		f.run(10 * time.Millisecond)
		for i, h := range f.hosts {
			if !h.down && !seen[i] && !f.considers(i, j) {
				seen[i] = true
				times = append(times, f.now.Sub(start))
			}
		}
	}
	slices.Sort(times)
	return times
}

// fleetSizes are the numbers of hosts of the simulations.
var fleetSizes = []int{12, 30, 100, 300}

// detectionLimit is the time within which a dead host must have left all answers.
const detectionLimit = 1500 * time.Millisecond

// TestDeadHostIsDetected guards against a detection time and a cost that grow with the fleet.
func TestDeadHostIsDetected(t *testing.T) {
	for _, n := range fleetSizes {
		is := is.New(t)
		f := newSimulatedFleet(n, 1)
		dead, alive := f.disagreements()
		is.Equal(dead+alive, 0)
		before := f.hosts[1].datagrams
		f.run(10 * time.Second)
		perSecond := float64(f.hosts[1].datagrams-before) / 10
		f.hosts[0].down = true
		times := f.detect(0, detectionLimit)
		is.Equal(len(times), n-1)
		t.Logf("%d hosts: detected after p50 %v, p99 %v, last %v; %.0f datagrams a second and host",
			n, times[len(times)/2], times[len(times)*99/100], times[len(times)-1], perSecond)
		is.True(perSecond <= 80)
		dead, _ = f.disagreements()
		is.Equal(dead, 0)
	}
}

// TestQuietFleetStaysWhole guards against live hosts that are considered dead because of lost
// datagrams.
func TestQuietFleetStaysWhole(t *testing.T) {
	is := is.New(t)
	f := newSimulatedFleet(100, 2)
	f.loss = 0.05
	for range 60 {
		f.run(time.Second)
		dead, _ := f.disagreements()
		is.Equal(dead, 0)
	}
}

// TestPausedHost guards against a host that considers others dead after a pause, and against
// others that keep it while it is paused or lose it for good. With seeds 11 and 12, two
// messages between the same hosts are lost after the pause.
func TestPausedHost(t *testing.T) {
	for _, seed := range []uint64{3, 11, 12} {
		for _, n := range fleetSizes {
			is := is.New(t)
			f := newSimulatedFleet(n, seed)
			f.hosts[0].pausedUntil = f.now.Add(5 * time.Second)
			f.run(detectionLimit)
			for i := 1; i < n; i++ {
				is.True(!f.considers(i, 0))
			}
			f.run(f.hosts[0].pausedUntil.Sub(f.now) + 2*time.Second)
			f.requireAgreement(is)
		}
	}
}

// TestIsolatedMinority guards against hosts on either side of a partition that consider the
// other side alive, and against sides that do not come together again.
func TestIsolatedMinority(t *testing.T) {
	for _, n := range fleetSizes {
		is := is.New(t)
		f := newSimulatedFleet(n, 4)
		for i := range n / 5 {
			f.hosts[i].group = 1
		}
		f.run(4 * time.Second)
		f.requireAgreement(is)
		for _, h := range f.hosts {
			h.group = 0
		}
		f.run(4 * time.Second)
		f.requireAgreement(is)
	}
}

// TestFailureDomainIsLost guards against hosts that stay alive for the others because their
// watchers were lost with them, and against detection that takes a round for each of them.
func TestFailureDomainIsLost(t *testing.T) {
	for _, n := range fleetSizes {
		is := is.New(t)
		f := newSimulatedFleet(n, 5)
		for i := range n / 3 {
			f.hosts[i*3].down = true
		}
		f.run(4 * time.Second)
		f.requireAgreement(is)
		for i := range n / 3 {
			f.restart(i * 3)
		}
		f.run(3 * time.Second)
		f.requireAgreement(is)
	}
}

// TestRollingRestart guards against live hosts that are lost from view while all hosts are
// replaced in turn.
func TestRollingRestart(t *testing.T) {
	for _, n := range fleetSizes {
		is := is.New(t)
		f := newSimulatedFleet(n, 6)
		const step = 3
		for i := 0; i < n; i += step {
			for j := i; j < min(i+step, n); j++ {
				f.hosts[j].down = true
			}
			f.run(200 * time.Millisecond)
			for j := i; j < min(i+step, n); j++ {
				f.restart(j)
			}
			f.run(100 * time.Millisecond)
		}
		f.run(3 * time.Second)
		f.requireAgreement(is)
	}
}
