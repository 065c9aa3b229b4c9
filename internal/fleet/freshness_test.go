package fleet

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/structs"
)

// TestFreshness guards against a host that counts as current with stale records, and
// against one that does not although its records are fresh enough.
func TestFreshness(t *testing.T) {
	const fresh, old = 2 * time.Second, 4 * time.Second
	down := HostLiveness{SilentFor: fresh, LogDown: true}
	up := HostLiveness{SilentFor: fresh}
	silent := HostLiveness{SilentFor: old, LogDown: true}
	cases := []struct {
		name string
		f    Freshness
		want bool
	}{
		{"own read", Freshness{ReadAge: fresh, Others: []HostLiveness{silent, silent}}, true},
		{"cut off from all", Freshness{ReadAge: old, Others: []HostLiveness{silent, silent}}, false},
		{"peer's records", Freshness{ReadAge: old, Peers: []PeerFreshness{{fresh, true}}, Others: []HostLiveness{up, silent}}, true},
		{"peer has more records", Freshness{ReadAge: old, Peers: []PeerFreshness{{fresh, false}}, Others: []HostLiveness{up}}, false},
		{"peer's read is old", Freshness{ReadAge: old, Peers: []PeerFreshness{{old, true}}, Others: []HostLiveness{up}}, false},
		{"outage", Freshness{ReadAge: old, Others: []HostLiveness{down, down, down}}, true},
		{"outage, one silent", Freshness{ReadAge: old, Others: []HostLiveness{down, silent, down}}, true},
		{"outage, two silent", Freshness{ReadAge: old, Others: []HostLiveness{down, silent, silent, down}}, false},
		{"one host reaches the log", Freshness{ReadAge: old, Others: []HostLiveness{down, up, down}}, false},
		{"fleet of two, peer silent", Freshness{ReadAge: old, Others: []HostLiveness{silent}}, false},
		{"fleet of one", Freshness{ReadAge: old}, true},
		{"not joined", Freshness{ReadAge: old}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.f.InView = c.name != "not joined"
			is.Equal(c.f.Current(), c.want)
		})
	}
}

// TestGossipKeepsNewest guards against older reports that replace newer ones, against
// reports on an earlier incarnation, and against heartbeats of unknown delay that count
// as more than a sign of life.
func TestGossipKeepsNewest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	view := &View{Number: 9, Hosts: []Host{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 2}, {ID: "c", Incarnation: 3}}}
	g := newGossip()
	beat := &Heartbeat{From: "b", Incarnation: 2, View: 9, Known: time.Second, LogDown: true, Ages: []byte{0, 0, 5}, Down: []byte{4}}
	g.receive(beat, now, now.Add(-100*time.Millisecond), view)
	age, logDown := g.age(view.Hosts[1], now)
	is.Equal(age, 100*time.Millisecond)
	is.True(logDown)
	age, logDown = g.age(view.Hosts[2], now)
	is.Equal(age, 600*time.Millisecond)
	is.True(logDown)
	older := &Heartbeat{From: "b", Incarnation: 2, View: 9, Ages: []byte{0, 0, 20}, Down: []byte{0}}
	g.receive(older, now, now.Add(-time.Second), view)
	age, logDown = g.age(view.Hosts[2], now)
	is.Equal(age, 600*time.Millisecond)
	is.True(logDown)
	age, _ = g.age(Host{ID: "c", Incarnation: 4}, now)
	is.Equal(age, maxEncodedAge*ageUnit)
	unknown := newGossip()
	unknown.receive(beat, now, time.Time{}, view)
	age, _ = unknown.age(view.Hosts[1], now)
	is.Equal(age, maxEncodedAge*ageUnit)
	is.Equal(unknown.lastHeartbeat["b"], now)
}

// TestDelayedHeartbeat guards against a heartbeat that was delayed in the network and
// then counts as fresh.
func TestDelayedHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s stream
		s.join("a")
		s.join("b")
		m := NewMember(Config{Self: Host{ID: "a"}})
		m.Apply(s.records)
		time.Sleep(time.Minute)
		reply := m.receive(&Heartbeat{From: "b", Incarnation: 2, View: 2})
		time.Sleep(time.Second)
		beat := &Heartbeat{From: "b", Incarnation: 2, View: 2, Echo: reply.Stamp, Hold: time.Second, Ages: []byte{0, 0}, Down: []byte{0}}
		m.receive(beat)
		is.Equal(m.Freshness(time.Now()).Others[0].SilentFor, time.Duration(0))
		is.Equal(m.Freshness(time.Now()).Peers[0].Age, time.Duration(0))
		time.Sleep(20 * time.Second)
		m.receive(beat)
		is.Equal(m.Freshness(time.Now()).Others[0].SilentFor, 20*time.Second)
		is.Equal(m.Freshness(time.Now()).Peers[0].Age, 20*time.Second)
	})
}

// TestHeartbeatBytes guards against control traffic above the target of 4 KB/s per host
// in a fleet of 350 hosts. It measures what one host sends per second: a heartbeat to
// each of its watchers and a reply to each host that it watches.
func TestHeartbeatBytes(t *testing.T) {
	is := is.New(t)
	const hosts = 350
	beat := Heartbeat{
		From: "host-123", Incarnation: 1 << 20, View: 1 << 20, LogDown: true, Known: 1234 * time.Millisecond,
		Offsets: map[string]structs.Offset{"fleet": 1 << 20, "lists": 1 << 20},
		Ages:    make([]byte, hosts), Down: make([]byte, (hosts+7)/8),
		Echo: int64(240 * time.Hour), Hold: time.Second,
	}
	reply := HeartbeatReply{Stamp: beat.Echo, Offsets: beat.Offsets}
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	encode := func(seq uint64) int {
		before := buffer.Len()
		is.NoErr(encoder.Encode(rpc.Request{ServiceMethod: "Fleet.Heartbeat", Seq: seq}))
		is.NoErr(encoder.Encode(beat))
		is.NoErr(encoder.Encode(rpc.Response{ServiceMethod: "Fleet.Heartbeat", Seq: seq}))
		is.NoErr(encoder.Encode(reply))
		return buffer.Len() - before
	}
	encode(1 << 20)
	perSecond := maxWatchers * encode(1<<20+1)
	t.Logf("%d bytes a second", perSecond)
	is.True(perSecond <= 4000)
}
