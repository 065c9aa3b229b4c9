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

// keyWithReplicas returns an idempotency key whose partition has the given replicas, in
// any order.
func (s *site) keyWithReplicas(replicas []int, name string) string {
	for n := 0; ; n++ {
		key := fmt.Sprintf("%s-%d", name, n)
		id := owner.PartitionOfClaim(program.ClaimKey{Account: "clinic", Key: key})
		var indexes []int
		for _, replica := range partition.NewTable(s.host(0).View()).Replicas(id) {
			number := 0
			_, _ = fmt.Sscanf(string(replica.ID), "host-%d", &number)
			indexes = append(indexes, number-1)
		}
		slices.Sort(indexes)
		if slices.Equal(indexes, slices.Sorted(slices.Values(replicas))) {
			return key
		}
	}
}

// TestAllCopiesLost guards against three faults after all three replicas of a partition
// are lost: a history that is lost with them, a request with an earlier idempotency key
// that runs twice, and a program that waits forever for an earlier call.
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
			runSite(t, siteConfig{hosts: 9, wrapReplica: log.wrap}, func(s *site) { s.loseAllCopies(log, fault) })
		})
	}
}

func (s *site) loseAllCopies(log *engineLog, fault func(s *site, lost []int)) {
	is := is.New(s.t)
	id := s.programAwayFrom(0)
	lost := s.replicasOf("clinic", id)
	old, recent := s.keyWithReplicas(lost, "old"), s.keyWithReplicas(lost, "recent")
	name := "clinic/" + id
	for turn := range 3 {
		is.Equal(s.send(0, s.chat("clinic", id, fmt.Sprintf("%s#%d", name, turn))).status, 200)
	}
	is.Equal(s.send(0, s.pickup("clinic", old, "four packs")).status, 200)
	running := make(chan answer, 1)
	go func() {
		// This call runs while the checkpoint is written and ends before the copies are lost.
		running <- s.send(0, s.chat("clinic", id, name+"#3").withMinTokens(1500).streamed())
	}()
	time.Sleep(checkpoint.DefaultInterval + time.Second)
	<-running
	is.Equal(s.send(0, s.pickup("clinic", recent, "four packs")).status, 200)
	for _, i := range lost {
		s.kill(i)
	}
	fault(s, lost)
	time.Sleep(failoverTime + 10*time.Second)

	got := s.send(0, s.chat("clinic", id, name+"#4"))
	if got.status != 200 {
		s.t.Fatalf("call after the loss got %d %s %v", got.status, got.body, got.err)
	}
	last := log.requests()[len(log.requests())-1]
	is.True(len(last.messages) >= 7) // the last checkpoint has three turns
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
	is.Equal(s.executions(old), 1)
	is.Equal(s.executions(recent), 1)
}
