package host_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/checkpoint"
	"cowslipgw/internal/owner"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
)

// claimAt returns an idempotency key whose partition has the same replicas as a program.
func (s *site) claimAt(replicas []int, name string) string {
	for n := 0; ; n++ {
		key := fmt.Sprintf("%s-%d", name, n)
		id := owner.PartitionOfClaim(program.ClaimKey{Account: "clinic", Key: key})
		var places []int
		for _, replica := range partition.NewTable(s.host(0).View()).Replicas(id) {
			place := 0
			_, _ = fmt.Sscanf(string(replica.ID), "host-%d", &place)
			places = append(places, place-1)
		}
		slices.Sort(places)
		if slices.Equal(places, slices.Sorted(slices.Values(replicas))) {
			return key
		}
	}
}

// TestAllCopiesLost guards against a history that is gone with all three replicas of its
// partition, against a claim of before that runs twice, and against a program that waits
// for ever for a call of before.
func TestAllCopiesLost(t *testing.T) {
	faults := map[string]func(s *site, lost []int){
		"killed for good": func(*site, []int) {},
		"replaced at once": func(s *site, lost []int) {
			for _, i := range lost {
				s.start(i)
			}
		},
		"log down meanwhile": func(s *site, _ []int) {
			s.log.SetFaults(logserver.Faults{Down: true})
			time.Sleep(20 * time.Second)
			s.log.SetFaults(logserver.Faults{})
		},
		"log slow": func(s *site, _ []int) { s.log.SetFaults(logserver.Faults{DelayMillis: 1500}) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &engineLog{}
			runSite(t, siteConfig{hosts: 9, wrap: log.wrap}, func(s *site) { s.loseAllCopies(log, fault) })
		})
	}
}

func (s *site) loseAllCopies(log *engineLog, fault func(s *site, lost []int)) {
	is := is.New(s.t)
	id := s.programAwayFrom(0)
	lost := s.replicasOf("clinic", id)
	old, recent := s.claimAt(lost, "old"), s.claimAt(lost, "recent")
	name := "clinic/" + id
	for turn := range 3 {
		is.Equal(s.send(0, s.chat("clinic", id, fmt.Sprintf("%s#%d", name, turn))).status, 200)
	}
	is.Equal(s.send(0, s.pickup("clinic", old, "four packs")).status, 200)
	running := make(chan answer, 1)
	go func() {
		// It runs while the checkpoint is written and ends before the copies are lost.
		running <- s.send(0, s.chat("clinic", id, name+"#3").tokens(1500).streamed())
	}()
	time.Sleep(checkpoint.DefaultInterval + time.Second)
	<-running
	is.Equal(s.send(0, s.pickup("clinic", recent, "four packs")).status, 200)
	for _, i := range lost {
		s.kill(i)
	}
	fault(s, lost)
	time.Sleep(viewChange + 10*time.Second)

	got := s.send(0, s.chat("clinic", id, name+"#4"))
	if got.status != 200 {
		s.t.Fatalf("call after the loss got %d %s %v", got.status, got.body, got.err)
	}
	last := log.all()[len(log.all())-1]
	is.True(len(last.messages) >= 7) // three turns were in the last checkpoint
	is.Equal(last.messages[0], "user: "+name+"#0")
	is.Equal(last.messages[4], "user: "+name+"#2")

	replay := s.send(0, s.pickup("clinic", old, "four packs"))
	is.Equal(replay.status, 200)
	is.Equal(replay.header.Get("Idempotency-Replayed"), "true")
	for range 2 {
		unknown := s.send(0, s.pickup("clinic", recent, "four packs"))
		is.Equal(unknown.status, 409)
		is.Equal(unknown.run(), structs.RunUnknown)
	}
	is.Equal(s.runs(old), 1)
	is.Equal(s.runs(recent), 1)
}
