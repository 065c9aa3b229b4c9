package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
)

// testFleet simulates the tables of several hosts on a virtual clock.
type testFleet struct {
	now     boottime.Instant
	tables  []*Table
	notices int
	// down holds the hosts that neither send nor receive notices.
	down map[int]bool
}

func newTestFleet(hosts int) *testFleet {
	f := &testFleet{now: boottime.Instant(time.Hour), down: make(map[int]bool)}
	for host := range hosts {
		f.tables = append(f.tables, f.newTable(host))
	}
	return f
}

func (f *testFleet) newTable(host int) *Table {
	t := NewTable(testHost{f, host}, func(n peers.Notice) {
		f.notices++
		for other, table := range f.tables {
			if other != host && !f.down[host] && !f.down[other] {
				table.Receive(strconv.Itoa(host), n)
			}
		}
	}, event.Discard())
	t.now = func() boottime.Instant { return f.now }
	return t
}

// refusing returns the number of hosts that refuse a request.
func (f *testFleet) refusing(r Request) int {
	count := 0
	for _, t := range f.tables {
		if _, isRefused := t.Refused(r); isRefused {
			count++
		}
	}
	return count
}

// crash lets one host see a replica end under a request.
func (f *testFleet) crash(host, replica int, r Request) {
	f.tables[host].Crashed(strconv.Itoa(replica), 1, []Request{r})
}

// testHost is the view of one host.
type testHost struct {
	fleet *testFleet
	host  int
}

func (h testHost) Self() peers.Host { return peers.Host{ID: strconv.Itoa(h.host)} }
func (h testHost) Counts() (known, alive int) {
	return len(h.fleet.tables), len(h.fleet.tables) - len(h.fleet.down)
}

var deadly = RequestOf("acme", "POST", "/chat/1", []byte("deadly"))

// withBody returns another request of the same account for the same path.
func withBody(body string) Request { return RequestOf("acme", "POST", "/chat/1", []byte(body)) }

// TestDigestsTellRequestsApart guards against the quarantine of requests that differ from the one
// which crashes replicas.
func TestDigestsTellRequestsApart(t *testing.T) {
	is := is.New(t)
	for _, r := range []Request{
		RequestOf("other", "POST", "/chat/1", []byte("deadly")), RequestOf("acme", "PUT", "/chat/1", []byte("deadly")),
		RequestOf("acme", "POST", "/chat/2", []byte("deadly")), RequestOf("acmeP", "OST", "/chat/1", []byte("deadly")),
		RequestOf("acme", "POST", "/chat/1d", []byte("eadly")),
	} {
		is.True(r.Exact != deadly.Exact)
		is.True(r.Path != deadly.Path)
	}
	is.True(withBody("other").Exact != deadly.Exact)
	is.Equal(withBody("other").Path, deadly.Path)
	is.Equal(withBody("deadly"), deadly)
	is.True(RequestOf("acme", "POST", "/chat/1", nil).Exact != deadly.Path)
	is.True(deadly.Exact.hasBody())
	is.True(!deadly.Path.hasBody())
}

// TestConversationIsRecognisedByPath guards against a deadly request in conversations that repeat
// their history: each of its repetitions has another body.
func TestConversationIsRecognisedByPath(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(10)
	for n := range crashThreshold {
		f.crash(n, n, withBody("history "+strconv.Itoa(n)))
	}
	is.Equal(f.refusing(withBody("longer history")), 10)
	is.Equal(f.refusing(RequestOf("acme", "POST", "/chat/2", []byte("longer history"))), 0)
	is.Equal(f.refusing(RequestOf("other", "POST", "/chat/1", []byte("longer history"))), 0)
}

// TestFrequentPathIsNotRefused guards against an account whose requests all have one path and are
// refused because one of them crashes replicas: that one alone must be refused.
func TestFrequentPathIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(10)
	for n := range 3 * crashThreshold {
		f.crash(n, n, deadly)
		f.tables[(n+1)%10].Completed(withBody("other " + strconv.Itoa(n)))
	}
	is.Equal(f.refusing(deadly), 10)
	is.Equal(f.refusing(withBody("another")), 0)
}

// TestPathIsRefusedLongerEachTime guards against requests that are refused for long because their
// path had bad luck once, and against a path that crashes replicas again every half minute.
func TestPathIsRefusedLongerEachTime(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	for n := range crashThreshold {
		f.crash(n, n, withBody(strconv.Itoa(n)))
	}
	for round := range 5 {
		length := pathQuarantineTime << round
		is.Equal(f.refusing(deadly), 3)
		f.pass(length - time.Second)
		is.Equal(f.refusing(deadly), 3)
		f.pass(2 * time.Second)
		is.Equal(f.refusing(deadly), 0)
		f.crash(round%3, 100+round, withBody("again "+strconv.Itoa(round)))
	}
	f.tables[0].Completed(deadly)
	is.Equal(f.refusing(deadly), 0)
}

// TestCrashesAtDifferentHostsAddUp guards against a request that crashes three replicas at each
// host before that host refuses it.
func TestCrashesAtDifferentHostsAddUp(t *testing.T) {
	for _, hosts := range []int{1, 2, 10, 300} {
		is := is.New(t)
		f := newTestFleet(hosts)
		for n := range crashThreshold {
			is.Equal(f.refusing(deadly), 0)
			f.crash(n%hosts, n, deadly)
		}
		is.Equal(f.refusing(deadly), hosts)
	}
}

// TestReplicaThatEndsTwiceCountsOnce guards against a request that is refused because several
// hosts report the same crash.
func TestReplicaThatEndsTwiceCountsOnce(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(10)
	for host := range f.tables {
		f.crash(host, 1, deadly)
	}
	is.Equal(f.refusing(deadly), 0)
	is.Equal(f.notices, 10) // one a host
}

// TestHostCutOffFromReplicasQuarantinesNothing guards against requests that all hosts refuse
// because one host reaches no replica any more.
func TestHostCutOffFromReplicasQuarantinesNothing(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(10)
	for replica := range 8 {
		f.crash(3, replica, deadly)
	}
	is.Equal(f.refusing(deadly), 0)
}

// TestCompletedRequestIsForgotten guards against frequent requests that happen to run at replicas
// which crash one after the other for another reason.
func TestCompletedRequestIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(10)
	for n := range 3 * crashThreshold {
		f.crash(n%10, n, deadly)
		f.tables[(n+5)%10].Completed(deadly)
	}
	is.Equal(f.refusing(deadly), 0)
	is.True(!f.tables[0].HasSuspects())
	sent := f.notices
	f.tables[0].Completed(deadly)
	is.Equal(f.notices, sent) // nothing to tell
}

// pass lets time pass and sends the notices that are due.
func (f *testFleet) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		for host, table := range f.tables {
			if !f.down[host] {
				table.Repeat()
			}
		}
	}
}

// contact is the time after which a host that is back must know what the others know.
const contact = 3 * time.Second

// TestRestartedHostsLearnOfQuarantine guards against hosts that run a deadly request again after
// a cut, a rolling restart, or the loss of all hosts but one.
func TestRestartedHostsLearnOfQuarantine(t *testing.T) {
	for _, hosts := range []int{3, 10, 100} {
		is := is.New(t)
		f := newTestFleet(hosts)
		f.down[hosts-1] = true
		for n := range crashThreshold {
			f.crash(n%(hosts-1), n, deadly)
		}
		is.Equal(f.refusing(deadly), hosts-1)
		delete(f.down, hosts-1)
		f.pass(contact)
		is.Equal(f.refusing(deadly), hosts)
		for host := range f.tables {
			f.tables[host] = f.newTable(host)
			f.pass(contact)
			is.Equal(f.refusing(deadly), hosts)
		}
		for host := range hosts - 1 {
			f.tables[host] = f.newTable(host)
		}
		f.pass(contact)
		is.Equal(f.refusing(deadly), hosts)
	}
}

// TestFewHostsRepeat guards against notices whose number grows with the square of the fleet.
func TestFewHostsRepeat(t *testing.T) {
	is := is.New(t)
	const hosts, length = 300, time.Minute
	f := newTestFleet(hosts)
	for n := range crashThreshold {
		f.crash(n, n, deadly)
	}
	sent := f.notices
	f.pass(length)
	const digests = 2 // of the request and of its path
	is.True(time.Duration(f.notices-sent)*repeatInterval <= digests*length)
}

// TestQuarantineEnds guards against requests that are refused for good, against a time to come
// back that is not true, and against hosts that extend each other's time.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	for n := range crashThreshold {
		f.crash(n, n, deadly)
	}
	remaining, isRefused := f.tables[1].Refused(deadly)
	is.True(isRefused)
	is.Equal(remaining, maxQuarantineTime)
	f.pass(maxQuarantineTime - time.Second)
	is.Equal(f.refusing(deadly), 3)
	f.pass(2 * time.Second)
	is.Equal(f.refusing(deadly), 0)
	f.pass(suspectLifetime + time.Second)
	is.True(!f.tables[2].HasSuspects())
}

// TestOldCrashesDoNotCount guards against requests that are refused for crashes long apart.
func TestOldCrashesDoNotCount(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	for n := range 2 * crashThreshold {
		f.crash(n%3, n, deadly)
		f.now = f.now.Add(suspectLifetime + time.Second)
	}
	is.Equal(f.refusing(deadly), 0)
}

// TestSuspectsAreBounded guards against a table or a message that grows without limit when many
// requests break off.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	many := make([]Request, maxSuspects+maxPerNotice+1)
	for n := range many {
		many[n] = RequestOf("acme", "POST", strconv.Itoa(n), nil)
	}
	largest := 0
	f.tables[0].broadcast = func(n peers.Notice) { largest = max(largest, len(n.Crashes)) }
	f.tables[0].Crashed("r", 1, many)
	is.Equal(largest, maxPerNotice)
	is.Equal(int(f.tables[0].count.Load()), maxSuspects)
	f.now = f.now.Add(suspectLifetime + time.Second)
	f.tables[0].Repeat()
	is.True(!f.tables[0].HasSuspects())
}

// TestLateNoticesDoNotRestoreQuarantine guards against requests that are refused again after one
// has completed, because notices that were sent before arrive later: each is sent twice.
func TestLateNoticesDoNotRestoreQuarantine(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(5)
	var sent []func()
	for host, table := range f.tables {
		broadcast := table.broadcast
		table.broadcast = func(n peers.Notice) {
			broadcast(n)
			sent = append(sent, func() { f.tables[(host+1)%5].Receive(strconv.Itoa(host), n) })
		}
	}
	for n := range crashThreshold {
		f.crash(n, n, deadly)
	}
	f.pass(3 * time.Second)
	is.Equal(f.refusing(deadly), 5)
	f.tables[0].Completed(deadly)
	is.Equal(f.refusing(deadly), 0)
	for _, again := range sent {
		again()
	}
	is.Equal(f.refusing(deadly), 0)
	f.pass(2 * noticeLifetime)
	is.Equal(f.refusing(deadly), 0)
	is.Equal(len(f.tables[0].cleared), 0)
}

// TestCopiesInOtherProgramsWait guards against copies of a request that go on ending replicas in
// other programs while its own program tries it again, and against refusing that program.
func TestCopiesInOtherProgramsWait(t *testing.T) {
	is := is.New(t)
	const hosts = 5
	f := newTestFleet(hosts)
	in := func(r Request, program uint64) Request {
		r.Program = program
		return r
	}
	f.crash(0, 1, in(deadly, 1))
	is.Equal(f.refusing(in(deadly, 1)), 0) // the program repeats it
	is.Equal(f.refusing(in(deadly, 2)), hosts)
	is.Equal(f.refusing(deadly), 0) // belongs to no program
	is.Equal(f.refusing(in(withBody("other"), 2)), 0)
	f.tables[3].Completed(in(deadly, 1))
	is.Equal(f.refusing(in(deadly, 2)), 0)
	f.now = f.now.Add(noticeLifetime)
	f.crash(1, 2, in(deadly, 1))
	is.Equal(f.refusing(in(deadly, 2)), hosts)
	f.now = f.now.Add(copyHold)
	is.Equal(f.refusing(in(deadly, 2)), 0) // its program does not come back
	f.crash(2, 3, deadly)
	f.crash(2, 4, deadly)
	is.Equal(f.refusing(in(deadly, 1)), hosts) // three replicas have ended
}
