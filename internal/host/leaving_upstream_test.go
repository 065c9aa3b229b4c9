package host_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/owner"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/standin/hostlist"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
)

// leaveBound is how long after the host list shows it, or its own report says it, a
// leaving upstream may get new work.
const leaveBound = 3 * time.Second

// hostListLag is how late the fixture's host list shows a change.
const hostListLag = 500 * time.Millisecond

// TestLeavingUpstreamGetsNoWork guards against work for an upstream that leaves, by the
// host list or by its own report, also when something else fails at the same time, and
// against calls that fail because of it.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	leave := map[string]func(s *site){
		"host list": func(s *site) {
			s.hostList.SetState("llm-1", hostlist.Leaving)
			s.hostList.SetState("app-1", hostlist.Leaving)
		},
		"own report": func(s *site) {
			s.engines["llm-1"].SetLeaving(true)
			s.apps["app-1"].SetLeaving(true)
		},
	}
	faults := map[string]func(s *site){
		"no fault":          func(*site) {},
		"dispatcher killed": func(s *site) { s.kill(2) },
		"no dispatcher": func(s *site) {
			// Hosts choose replicas by themselves until the view changes.
			time.AfterFunc(leaveBound, func() {
				for _, pool := range []structs.PoolName{"llm", "app"} {
					place := 0
					first, _ := partition.NewTable(s.anyHost().View()).Owner(owner.PartitionOfPool(pool))
					_, _ = fmt.Sscanf(string(first.ID), "host-%d", &place)
					if s.host(place-1) != nil {
						s.kill(place - 1)
					}
				}
			})
		},
		"log down":         func(s *site) { s.log.SetFaults(logserver.Faults{Down: true}) },
		"host cut off":     func(s *site) { s.cut(4, append(s.peerIPs(4), logIP)...) },
		"list down later":  func(s *site) { time.AfterFunc(4*time.Second, func() { s.hostList.SetDown(true) }) },
		"host starts anew": func(s *site) { s.kill(5); s.start(5) },
		"new replica at it": func(s *site) {
			s.hostList.Put(hostlist.Replica{Pool: "llm", ID: "llm-9", Address: "10.2.0.9:80", Kind: "engine"})
		},
		"other one vanishes": func(s *site) { s.network.Kill("10.3.0.2") },
	}
	for by, leave := range leave {
		for name, fault := range faults {
			t.Run(by+", "+name, func(t *testing.T) {
				t.Parallel()
				log := &engineLog{}
				runSite(t, siteConfig{wrap: log.wrapAll, engines: 3, apps: 3}, func(s *site) {
					s.leavingUpstream(log, leave, fault)
				})
			})
		}
	}
}

func (s *site) leavingUpstream(log *engineLog, leave, fault func(s *site)) {
	is := is.New(s.t)
	stopped := make(chan struct{})
	var done sync.WaitGroup
	s.key("clinic")
	for i := range s.config.hosts {
		done.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				s.callOnce(addressOf(i), s.chat("clinic", fmt.Sprintf("return-%d", i), "text"))
				s.callOnce(addressOf(i), s.pickup("clinic", fmt.Sprintf("%d-%d", i, n), "four packs"))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	before := len(log.to("llm-1")) + len(log.to("app-1"))
	is.True(before > 0)
	leave(s)
	fault(s)
	bound := time.Now().Add(hostListLag + leaveBound)
	time.Sleep(12 * time.Second)
	close(stopped)
	done.Wait()
	for _, replica := range []string{"llm-1", "app-1"} {
		for _, c := range log.to(replica) {
			if c.from.After(bound) {
				s.t.Errorf("%s got work %v after the bound", replica, c.from.Sub(bound))
				break
			}
		}
	}
	is.True(len(log.to("llm-2"))+len(log.to("app-3")) > 50)
}

// to returns the requests that reached one replica.
func (l *engineLog) to(replica string) []*engineCall {
	var calls []*engineCall
	for _, c := range l.all() {
		if c.replica == replica {
			calls = append(calls, c)
		}
	}
	return calls
}
