package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/admission"
	"cowslipgw/internal/boottime"
)

const (
	// usualLoad is the load outside of bursts.
	usualLoad = 0.65
	// burstLoad and burstTime are those of the longest burst of the kitchen, in slots.
	burstLoad = 2.6
	burstTime = 5700 * time.Millisecond
	// warmUp is how long the usual load lasts before a burst.
	warmUp = 10 * time.Second
	// drain is how long a test waits for the programs to end.
	drain = 10 * time.Second
)

// timeFactors are those that the tests of the whole service use: callers may give a program little
// more time than it needs, or much more.
var timeFactors = []float64{1.5, 2, 3}

// TestBurstOfOneKind guards against a burst in which nearly all programs begin, all of them are
// late, and the backlog, or the refusals, outlast the burst by seconds.
func TestBurstOfOneKind(t *testing.T) {
	for _, factor := range timeFactors {
		t.Run(fmt.Sprintf("time %v", factor), func(t *testing.T) {
			is := is.New(t)
			k := &testKind{route: "a", load: usualLoad}
			l := newTestLoad(1, k)
			l.timeFactor = factor
			l.run(warmUp)
			begin := l.now
			k.load = burstLoad
			l.run(burstTime)
			end := l.now
			k.load = usualLoad
			l.run(drain)

			burst := l.arrivedIn(k, begin, end)
			admitted := where(burst, wasAdmitted)
			inTime := share(admitted, endedInTime)
			t.Logf("%d programs in the burst, %d admitted, %.3f of these in time; at most %d in flight", len(burst), len(admitted), inTime, l.maxInFlight)
			for n := range int(drain / time.Second) {
				from := end.Add(time.Duration(n) * time.Second)
				t.Logf("admitted at once in second %d after the burst: %.3f", n+1, share(l.arrivedIn(k, from, from.Add(time.Second)), admittedFirst))
			}
			is.True(inTime >= 0.6)
			// The engines run 1 / burstLoad of the burst. Half of that must end in time.
			is.True(share(burst, endedInTime) >= 0.5/burstLoad)
			after := share(l.arrivedIn(k, end.Add(time.Second), end.Add(2*time.Second)), admittedFirst)
			is.True(after >= 0.95) // open again
		})
	}
}

// TestUrgentBurst guards against urgent programs that are served worse than less urgent ones, and
// against less urgent programs that get nearly nothing.
func TestUrgentBurst(t *testing.T) {
	for _, c := range []struct {
		name         string
		urgent, less float64
	}{
		{"urgent burst", 2.2, 0.4},
		{"burst of the less urgent kind", 0.4, 2.2},
		{"burst of both kinds", 1.3, 1.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			urgent, less := &testKind{route: "a", priority: 0, load: usualLoad / 2}, &testKind{route: "b", priority: 2, load: usualLoad / 2}
			l := newTestLoad(2, urgent, less)
			l.run(warmUp)
			begin := l.now
			urgent.load, less.load = c.urgent, c.less
			l.run(burstTime)
			end := l.now
			urgent.load, less.load = usualLoad/2, usualLoad/2
			l.run(drain)

			urgentShare := share(l.arrivedIn(urgent, begin, end), endedInTime)
			lessShare := share(l.arrivedIn(less, begin, end), endedInTime)
			all := share(l.arrivedIn(nil, begin, end), endedInTime)
			t.Logf("in time: %.3f of the urgent programs, %.3f of the less urgent, %.3f of all", urgentShare, lessShare, all)
			is.True(urgentShare >= lessShare)
			is.True(lessShare >= 0.5*all)
		})
	}
}

// TestLargeProgramsBesideSmall guards against large programs that find no place because small ones
// take each gap.
func TestLargeProgramsBesideSmall(t *testing.T) {
	is := is.New(t)
	k := &testKind{route: "a", load: usualLoad}
	l := newTestLoad(3, k)
	l.run(warmUp)
	begin := l.now
	k.load = burstLoad
	l.run(burstTime)
	burst := l.arrivedIn(k, begin, l.now)
	k.load = usualLoad
	l.run(drain)

	slices.SortStableFunc(burst, func(a, b *testProgram) int { return b.turns - a.turns })
	large := share(burst[:len(burst)/10], wasAdmitted)
	all := share(burst, wasAdmitted)
	t.Logf("admitted: %.3f of the largest tenth, %.3f of all", large, all)
	is.True(large >= 0.5*all)
}

// TestRefusedProgramsDoNotReturnAtOnce guards against refused programs that are all told to return
// at the same time and find the service full again, and against later ones that are placed before
// earlier ones.
func TestRefusedProgramsDoNotReturnAtOnce(t *testing.T) {
	is := is.New(t)
	const (
		running     = 300
		arrivals    = 300
		programTime = 4 * time.Second
	)
	pool := admission.NewPool()
	pool.SetSlots(testSlots)
	now := boottime.Instant(time.Hour)
	next := uint64(0)
	newRequest := func(left time.Duration) admission.Request {
		next++
		return admission.Request{Service: "s", Program: next, Route: "a", TimeLeft: left}
	}
	// The running programs end over three seconds.
	for n := range running {
		pool.Admit(now, newRequest(200*time.Millisecond+3*time.Second*time.Duration(n)/running))
	}
	now = now.Add(testTick)
	asked := now
	type place struct {
		request admission.Request
		at      boottime.Instant
	}
	var places []place
	for range arrivals {
		r := newRequest(programTime)
		if d := pool.Admit(now, r); d.Reason == admission.NoCapacity {
			places = append(places, place{r, now.Add(d.RetryAfter)})
		}
	}
	is.True(len(places) > arrivals/10)
	is.True(slices.IsSortedFunc(places, func(a, b place) int { return int(a.at - b.at) }))

	returns := make(map[boottime.Instant]int)
	for _, p := range places {
		now = p.at
		again := p.request
		again.TimeLeft -= now.Sub(asked)
		d := pool.Admit(now, again)
		is.Equal(d.Reason, admission.Admitted)
		is.True(d.Promised <= d.Slots)
		returns[now/boottime.Instant(100*time.Millisecond)]++
	}
	most := 0
	for _, n := range returns {
		most = max(most, n)
	}
	t.Logf("%d of %d programs got a place; at most %d in 100 ms", len(places), arrivals, most)
}

// TestReturnsOfABurst guards against programs that return on time and are refused again because
// others have taken their places, and against more returns than the engines have room for.
func TestReturnsOfABurst(t *testing.T) {
	is := is.New(t)
	const step = 100 * time.Millisecond
	// slotsOfProgram is the number of slots that a running program uses, and endsInStep how many
	// programs end in a step on full engines.
	slotsOfProgram := (1 + 1.0/doubleStep) * turnTime.Seconds() / (turnTime + toolTime).Seconds()
	endsInStep := testSlots * step.Seconds() / (meanTurns * turnTime.Seconds())
	k := &testKind{route: "a", load: usualLoad}
	l := newTestLoad(4, k)
	l.run(warmUp)
	returns, room := make(map[boottime.Instant]int), make(map[boottime.Instant]float64)
	placed := make(map[*testProgram]bool)
	onTime, refusedAgain := 0, 0
	l.onAdmit = func(p *testProgram, d admission.Decision) {
		if placed[p] {
			n := l.now / boottime.Instant(step)
			if onTime++; returns[n] == 0 {
				// The number of programs that end in one step varies.
				room[n] = max(float64(testSlots-l.busy-len(l.queue)), 0)/slotsOfProgram + 2*endsInStep
			}
			returns[n]++
			if !d.Admitted() {
				refusedAgain++
			}
		}
		placed[p] = d.Reason == admission.NoCapacity
	}
	k.load = burstLoad
	l.run(burstTime)
	k.load = usualLoad
	l.run(drain)

	worst, worstRoom, excess := 0, 0.0, 0
	for n, count := range returns {
		if float64(count) > room[n] {
			excess++
		}
		if float64(count)-room[n] > float64(worst)-worstRoom {
			worst, worstRoom = count, room[n]
		}
	}
	t.Logf("%d returns on time, %d refused again; %d of %d slices with more than fit, at worst %d where %.0f fit",
		onTime, refusedAgain, excess, len(returns), worst, worstRoom)
	is.True(onTime > 0)
	is.Equal(refusedAgain, 0)
	is.Equal(excess, 0)
}

// TestRestartWithoutState guards against a new owner that admits everything because it knows of no
// program, or nothing because it does not know what the requests in flight are.
func TestRestartWithoutState(t *testing.T) {
	for _, c := range []struct {
		name string
		load float64
	}{{"usual load", usualLoad}, {"overload", 1.5}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := &testKind{route: "a", load: c.load}
			l := newTestLoad(5, k)
			l.run(warmUp)
			before := len(where(l.programs, func(p *testProgram) bool { return p.begun >= l.now.Add(-time.Second) }))
			l.pool = admission.NewPool()
			l.pool.SetSlots(testSlots)
			l.report()
			restart := l.now
			l.maxInFlight = 0
			l.run(time.Second)
			first := where(l.programs, func(p *testProgram) bool { return p.begun >= restart })
			l.run(3 * time.Second)
			admitted := where(l.programs, func(p *testProgram) bool { return p.begun >= restart })
			l.run(drain)

			inTime := share(admitted, endedInTime)
			t.Logf("%d programs admitted in the second before, %d in the one after; of those in 4 s %.3f in time; at most %d in flight",
				before, len(first), inTime, l.maxInFlight)
			is.True(len(first) >= before/2) // does not close
			is.True(inTime >= 0.6)          // does not overload
			is.True(l.maxInFlight <= 3*testSlots/2)
		})
	}
}

// TestHostsWithoutReports guards against a service that admits nothing any more, or everything,
// because no reports arrive while the owner still knows what it has admitted.
func TestHostsWithoutReports(t *testing.T) {
	k := &testKind{route: "a", load: usualLoad}
	l := newTestLoad(6, k)
	l.run(warmUp)
	l.silent = true
	begin := l.now
	l.run(warmUp)
	quiet := l.arrivedIn(k, begin, l.now)
	begin = l.now
	k.load = burstLoad
	l.run(burstTime)
	end := l.now
	k.load = usualLoad
	l.run(drain)

	burst := l.arrivedIn(k, begin, end)
	admitted := where(burst, wasAdmitted)
	after := share(l.arrivedIn(k, end.Add(time.Second), end.Add(5*time.Second)), admittedFirst)
	t.Logf("refused without reports: %.3f at the usual load; in a burst %.3f admitted and %.3f of these in time; %.3f admitted at once after it; at most %d in flight",
		share(quiet, wasRefused), share(burst, wasAdmitted), share(admitted, endedInTime), after, l.maxInFlight)
	t.Run("no lock-out", func(t *testing.T) {
		is := is.New(t)
		is.Equal(share(quiet, wasRefused), 0.0)
		is.True(share(burst, wasAdmitted) > 0.5/burstLoad)
		is.True(after >= 0.95)
	})
	t.Run("no overload", func(t *testing.T) {
		is := is.New(t)
		is.True(share(admitted, endedInTime) >= 0.6)
	})
}

// TestRunningProgramKeepsItsPlace guards against a running program that is refused, or counted
// twice, because its first turn is sent again.
func TestRunningProgramKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	pool := admission.NewPool()
	pool.SetSlots(10)
	now := boottime.Instant(time.Hour)
	const left = 20 * time.Second
	first := admission.Request{Service: "s", Program: 1, Route: "b", Priority: 2, TimeLeft: left}
	is.Equal(pool.Admit(now, first).Reason, admission.Admitted)
	next := uint64(1)
	for elapsed := time.Duration(0); elapsed <= left; elapsed += 500 * time.Millisecond {
		// More urgent programs fill the service.
		for range 20 {
			next++
			pool.Admit(now.Add(elapsed), admission.Request{Service: "s", Program: next, Route: "a", TimeLeft: 2 * time.Second})
		}
		pool.Observe(now.Add(elapsed), map[uint32]int{admission.Hash("a"): 8, admission.Hash("b"): 1})
		again := first
		again.TimeLeft -= elapsed
		before := pool.Admit(now.Add(elapsed), again)
		d := pool.Admit(now.Add(elapsed), again)
		if !d.Admitted() {
			t.Fatalf("refused after %v of %v: %+v", elapsed, left, d)
		}
		is.Equal(d.Promised, before.Promised) // counted once
	}
}

// TestLateProgramOnlyIntoSpareCapacity guards against programs that cannot be in time any more and
// delay those that can.
func TestLateProgramOnlyIntoSpareCapacity(t *testing.T) {
	late := func(id uint64) admission.Request {
		return admission.Request{Service: "s", Program: id, Route: "a", TimeLeft: -time.Millisecond}
	}
	t.Run("idle service", func(t *testing.T) {
		is := is.New(t)
		pool := admission.NewPool()
		pool.SetSlots(10)
		is.Equal(pool.Admit(boottime.Instant(time.Hour), late(1)).Reason, admission.Admitted)
	})
	t.Run("full service", func(t *testing.T) {
		is := is.New(t)
		pool := admission.NewPool()
		pool.SetSlots(testSlots)
		now := boottime.Instant(time.Hour)
		id := uint64(0)
		for full := false; !full; {
			id++
			full = !pool.Admit(now, admission.Request{Service: "s", Program: id, Route: "a", TimeLeft: 2 * time.Second}).Admitted()
		}
		d := pool.Admit(now, late(id+1))
		is.Equal(d.Reason, admission.TooLate)
		is.True(d.RetryAfter > 0)
	})
	t.Run("place missed", func(t *testing.T) {
		is := is.New(t)
		pool := admission.NewPool()
		pool.SetSlots(testSlots)
		now := boottime.Instant(time.Hour)
		var refused admission.Request
		for id := uint64(1); refused.Program == 0; id++ {
			r := admission.Request{Service: "s", Program: id, Route: "a", TimeLeft: 2 * time.Second}
			if !pool.Admit(now, r).Admitted() {
				refused = r
			}
		}
		now = now.Add(1800 * time.Millisecond) // the others have ended or are about to
		for id := uint64(10000); ; id++ {
			if !pool.Admit(now, admission.Request{Service: "s", Program: id, Route: "a", TimeLeft: 2 * time.Second}).Admitted() {
				break
			}
		}
		refused.TimeLeft = 200 * time.Millisecond
		is.Equal(pool.Admit(now, refused).Reason, admission.TooLate)
	})
	t.Run("many late programs", func(t *testing.T) {
		is := is.New(t)
		k := &testKind{route: "a", load: usualLoad}
		l := newTestLoad(7, k)
		l.run(warmUp)
		begin := l.now
		l.maxInFlight = 0
		// About as many late programs as programs in time, each with as many turns.
		lateKind := &testKind{route: k.route}
		for range int(10 * time.Second / testTick) {
			p := l.newProgram(lateKind)
			p.arrived = l.now.Add(-p.time)
			l.ask(p)
			l.run(testTick)
		}
		end := l.now
		l.run(drain)
		onTime := l.arrivedIn(k, begin, end)
		lateOnes := l.arrivedIn(lateKind, 0, end)
		t.Logf("%.3f of the programs in time refused, %.3f of all ended in time; %.3f of the late ones admitted; at most %d in flight",
			share(onTime, wasRefused), share(onTime, endedInTime), share(lateOnes, wasAdmitted), l.maxInFlight)
		is.True(share(onTime, admittedFirst) >= 0.95)
		is.True(share(onTime, endedInTime) >= 0.95)
	})
}

// TestQuietLoadRefusesNothing guards against refusals while there is capacity.
func TestQuietLoadRefusesNothing(t *testing.T) {
	for _, factor := range timeFactors {
		t.Run(fmt.Sprintf("time %v", factor), func(t *testing.T) {
			is := is.New(t)
			for seed := uint64(10); seed < 13; seed++ {
				l := newTestLoad(seed, &testKind{route: "a", load: 0.35}, &testKind{route: "b", priority: 2, load: 0.35})
				l.timeFactor = factor
				l.run(30 * time.Second)
				refused := where(l.programs, wasRefused)
				t.Logf("seed %d: %d programs, %d refused; at most %d in flight", seed, len(l.programs), len(refused), l.maxInFlight)
				is.Equal(len(refused), 0)
			}
		})
	}
}
