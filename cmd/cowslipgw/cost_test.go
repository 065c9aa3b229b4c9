package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/standin/engine"
)

// costCallers is the number of concurrent callers in a benchmark.
const costCallers = 8

// startCostSystem starts the dev system with engines that answer at once, so that the
// benchmark measures the system's own overhead. Everything runs in this process over
// loopback.
func startCostSystem(b *testing.B) *devSystem {
	b.Helper()
	plans := examplePlans
	examplePlans = strings.Replace(examplePlans, "rate = 50\nburst = 100", "rate = 100000\nburst = 200000", 1)
	examplePlans = strings.Replace(examplePlans, "max_calls = 160", "max_calls = 1000000", 1)
	examplePlans = strings.Replace(examplePlans, "max_tokens = 270000", "max_tokens = 1000000000", 1)
	b.Cleanup(func() { examplePlans = plans })
	d := &devSystem{engineSettings: engine.Settings{
		StepBase: time.Nanosecond, StepPerCall: time.Nanosecond, PrefillPerToken: time.Nanosecond,
	}}
	if err := d.start(context.Background(), "127.0.0.1:0", event.Discard()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = d.stop() })
	return d
}

// costCall is a request of a benchmark.
type costCall struct {
	path, body string
	// header returns additional headers for the n-th call. It may be nil.
	header func(n int64) map[string]string
}

// measure sends b.N calls and reports latency and CPU time. The CPU time includes
// callers and stand-ins, which run in the same process.
func (c costCall) measure(b *testing.B, d *devSystem) {
	b.Helper()
	tr := &http.Transport{MaxIdleConnsPerHost: costCallers}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr}
	var next atomic.Int64
	var mu sync.Mutex
	var latencies []time.Duration
	var group sync.WaitGroup
	before := processorTime(b)
	b.ResetTimer()
	for range costCallers {
		group.Go(func() {
			var own []time.Duration
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				start := time.Now()
				if err := c.send(client, d, n); err != nil {
					b.Error(err)
					return
				}
				own = append(own, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, own...)
		})
	}
	group.Wait()
	b.StopTimer()
	used := processorTime(b) - before
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/op")
}

func (c costCall) send(client *http.Client, d *devSystem, n int64) error {
	entry := d.hosts[int(n)%len(d.hosts)].EntryAddress()
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+d.key)
	if c.header != nil {
		for name, value := range c.header(n) {
			request.Header.Set(name, value)
		}
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return err
}

// processorTime returns the CPU time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	costChat   = `{"model":"assistant","max_tokens":16,"messages":[{"role":"user","content":"one short message"}]}`
	costStream = `{"model":"assistant","stream":true,"max_tokens":200,"min_tokens":200,"messages":[{"role":"user","content":"one short message"}]}`
)

// BenchmarkSite measures complete calls through three hosts with two backups.
func BenchmarkSite(b *testing.B) {
	calls := []struct {
		name string
		call costCall
	}{
		{"chat", costCall{path: "/v1/chat/completions", body: costChat}},
		{"program-turn", costCall{path: "/v1/chat/completions", body: costChat, header: func(n int64) map[string]string {
			return map[string]string{"Cowslip-Program": fmt.Sprintf("p-%d", n/10)}
		}}},
		{"stream-200-tokens", costCall{path: "/v1/chat/completions", body: costStream}},
		{"app-claimed", costCall{path: "/apps/app/pickups", body: `{"packs":4}`, header: func(n int64) map[string]string {
			return map[string]string{"Idempotency-Key": fmt.Sprintf("k-%d-%d", b.N, n)}
		}}},
	}
	for _, c := range calls {
		b.Run(c.name, func(b *testing.B) {
			d := startCostSystem(b)
			c.call.measure(b, d)
		})
	}
}
