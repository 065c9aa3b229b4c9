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

// leavingBound is how long a leaving upstream may still get new work after the host list
// or its own load report shows that it is leaving.
const leavingBound = 3 * time.Second

// hostListLag is the delay after which the stand-in host list shows a change.
const hostListLag = 500 * time.Millisecond

// TestLeavingUpstreamGetsNoWork guards against new work for an upstream that is leaving
// according to the host list or its own load report, alone and combined with another
// fault, and against calls that fail because an upstream leaves.
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
			// Without a dispatcher, hosts choose replicas locally until the view changes.
			time.AfterFunc(leavingBound, func() {
				for _, pool := range []structs.PoolName{"llm", "app"} {
					number := 0
					first, _ := partition.NewTable(s.anyHost().View()).Owner(owner.PartitionOfPool(pool))
					_, _ = fmt.Sscanf(string(first.ID), "host-%d", &number)
					if s.host(number-1) != nil {
						s.kill(number - 1)
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
				runSite(t, siteConfig{wrapReplica: log.wrapAllWork, engines: 3, apps: 3}, func(s *site) {
					s.runLeavingUpstream(log, leave, fault)
				})
			})
		}
	}
}

func (s *site) runLeavingUpstream(log *engineLog, leave, fault func(s *site)) {
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
	before := len(log.requestsTo("llm-1")) + len(log.requestsTo("app-1"))
	is.True(before > 0)
	leave(s)
	fault(s)
	bound := time.Now().Add(hostListLag + leavingBound)
	time.Sleep(12 * time.Second)
	close(stopped)
	done.Wait()
	for _, replica := range []string{"llm-1", "app-1"} {
		for _, c := range log.requestsTo(replica) {
			if c.arrived.After(bound) {
				s.t.Errorf("%s got work %v after the bound", replica, c.arrived.Sub(bound))
				break
			}
		}
	}
	is.True(len(log.requestsTo("llm-2"))+len(log.requestsTo("app-3")) > 50)
}

// requestsTo returns the requests that reached one replica.
func (l *engineLog) requestsTo(replica string) []*engineCall {
	var calls []*engineCall
	for _, c := range l.requests() {
		if c.replica == replica {
			calls = append(calls, c)
		}
	}
	return calls
}
