package host_test

import (
	"flag"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"cowslipgw/internal/structs"
)

// idleFleet enables TestIdleFleet. The test measures in real time and has no assertions
// about time, so it is not part of the usual run.
var idleFleet = flag.Bool("site.idle", false, "measure what a host costs while nobody calls")

// idleFor is the duration of one measurement.
const idleFor = 10 * time.Second

// TestIdleFleet measures the processor time, memory and bytes sent per host in idle
// fleets of growing size. The stand-in servers run in the same process.
func TestIdleFleet(t *testing.T) {
	if !*idleFleet {
		t.Skip("measures in real time; use -site.idle -v")
	}
	for _, hosts := range []int{12, 24, 48, 96} {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) { measureIdle(t, hosts) })
	}
}

func measureIdle(t *testing.T, hosts int) {
	t.Helper()
	domains := []structs.Domain{"domain-a", "domain-b", "domain-c"}
	before := heapInUse()
	s := newSite(t, siteConfig{hosts: hosts, region: "region", domains: domains})
	// Real time continues after the test, so close need not wait for retries to end.
	s.settleTime = 0
	defer s.close()
	for i := range hosts {
		s.start(i)
	}
	s.awaitReady()
	time.Sleep(3 * time.Second)
	cpu, sent := processorTime(t), s.sentByHosts()
	time.Sleep(idleFor)
	cpu, sent = processorTime(t)-cpu, s.sentByHosts()-sent
	n := float64(hosts)
	t.Logf("%.2f%% of a core, %.0f bytes sent a second, %.1f MB of heap for each host",
		100*cpu.Seconds()/idleFor.Seconds()/n, float64(sent)/idleFor.Seconds()/n, float64(heapInUse()-before)/n/1e6)
}

// sentByHosts returns the number of bytes that all hosts have sent.
func (s *site) sentByHosts() int64 {
	var total int64
	for _, r := range s.hosts {
		total += s.network.BytesSent(r.ip)
	}
	return total
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
