package evacuation

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPausedHostReadsBeforeItSends guards against a host that sends, after a pause, on the basis of
// what it knew before.
func TestPausedHostReadsBeforeItSends(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t)
	is.True(!h.follower.Current()) // nothing was read yet
	h.follow(State{End: 1})
	h.pass(3 * time.Second) // as between two reads that wait for a change
	is.True(h.follower.Current())
	h.pass(3 * time.Second) // the pause
	is.True(!h.follower.Current())
	h.read = &State{End: 2, Domains: map[string]int64{"z1": 1}}
	is.True(h.follower.Confirm(context.Background()))
	is.Equal(h.domains, map[string]int64{"z1": 1})
}

// TestHostWithoutStoreAsksOthers guards against a host that is cut off from the store and never
// learns of an evacuation, or refuses everything although others confirm what it knows.
func TestHostWithoutStoreAsksOthers(t *testing.T) {
	is := is.New(t)
	h, other := newTestHost(t), newTestHost(t)
	h.follow(State{End: 1})
	h.storeLost, h.elsewhere, h.informants, h.known = true, true, []*testHost{nil, other}, 3
	for n := range 5 {
		h.pass(2 * time.Second)
		other.now = h.now
		other.follow(State{End: int64(2 + n), Domains: map[string]int64{"z1": 1}})
		other.pass(time.Second)
		h.follower.ask(context.Background())
		is.Equal(h.domains, map[string]int64{"z1": 1})
		is.True(h.follower.Current())
	}
}

// TestUnconfirmedReportIsNoConfirmation guards against hosts that are all cut off and keep each other
// current.
func TestUnconfirmedReportIsNoConfirmation(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t)
	h.follow(State{End: 1})
	h.pass(6 * time.Second)
	h.knowledge.LearnReported(State{End: 1}, h.now, 6*time.Second)
	is.True(!h.follower.Current())
	h.knowledge.LearnReported(State{End: 1}, h.now, -time.Hour) // a host with a broken clock
	is.True(!h.follower.Current())
	h.knowledge.LearnReported(State{End: 1}, h.now, time.Second)
	is.True(h.follower.Current())
}

// TestIsolatedHostStopsSending guards against a host without the store and without a majority of the
// hosts: an evacuation may be in force that it cannot know of.
func TestIsolatedHostStopsSending(t *testing.T) {
	is := is.New(t)
	h, other := newTestHost(t), newTestHost(t)
	h.storeLost, h.informants, h.known = true, []*testHost{other}, 4
	h.follow(State{End: 1})
	h.pass(6 * time.Second)
	is.True(!h.follower.Confirm(context.Background()))
}

// TestStoreAwayKeepsServing guards against hosts that refuse everything during an outage of the
// store, and against one that forgets the evacuations in it.
func TestStoreAwayKeepsServing(t *testing.T) {
	is := is.New(t)
	h, other := newTestHost(t), newTestHost(t)
	h.storeLost, h.informants, h.known = true, []*testHost{other, nil}, 4
	h.follow(State{End: 1, Domains: map[string]int64{"z1": 0}})
	other.follow(State{End: 2, Domains: map[string]int64{"z1": 0, "z2": 1}}) // read just before the outage
	h.pass(6 * time.Second)
	other.pass(6 * time.Second)
	is.True(h.follower.Confirm(context.Background()))
	is.Equal(len(h.domains), 2)
	h.pass(outagePermit)
	is.True(!h.follower.Current())
	h.elsewhere = true // another host reaches the store, but does not answer
	is.True(!h.follower.Confirm(context.Background()))
}

// TestLateReadDoesNotEndEvacuation guards against a read that was answered before the record and
// arrives after another host has reported it.
func TestLateReadDoesNotEndEvacuation(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t)
	h.follow(State{End: 1})
	started := h.now
	h.pass(time.Millisecond)
	h.knowledge.LearnReported(State{End: 2, Domains: map[string]int64{"z1": 1}}, h.now, 0)
	h.knowledge.LearnRead(State{End: 1}, started)
	is.Equal(len(h.domains), 1)
	h.pass(time.Millisecond)
	h.knowledge.LearnRead(State{End: 1}, h.now) // the store has lost the record
	is.Equal(len(h.domains), 0)
}
