package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"cowslipgw/internal/entry"
	"cowslipgw/internal/event"
	"cowslipgw/internal/program"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

// tokenPause and tokensPerCall define the streams of the benchmark.
const (
	tokenPause    = time.Millisecond
	tokensPerCall = 50
)

// benchHop starts an engine and an entry host over loopback TCP and returns the URLs of
// both.
func benchHop(b *testing.B) (direct, hop string) {
	b.Helper()
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		return listener
	}
	engineListener, entryListener := listen(), listen()
	engine := &http.Server{Handler: http.HandlerFunc(benchEngine)}
	go engine.Serve(engineListener)
	tracer, err := trace.New(context.Background(), trace.Options{Host: "h1"})
	if err != nil {
		b.Fatal(err)
	}
	f := newFixture(b)
	f.rates.left = 1 << 40
	f.dispatcher.addresses = []string{engineListener.Addr().String()}
	client := upstream.NewClient(upstream.ClientOptions{
		Network: transport.TCP{}, FirstByteTimeout: time.Minute, AnswerTimeout: time.Minute, StreamIdleTimeout: time.Minute, AnswerLimit: 1 << 20,
	})
	server := entry.New(entry.Options{
		Programs: f.owner, Claims: &fakeOwner{claims: map[program.ClaimKey]*fakeClaim{}}, Rates: f.rates, Lists: f.lists,
		Freshness: f.freshness, Hosts: f.hosts, Dispatcher: f.dispatcher, Upstream: client, Logger: event.Discard(),
		Tracer: tracer, Limits: settings.Default().Limits,
	})
	go server.Serve(entryListener)
	b.Cleanup(func() {
		engineListener.Close()
		entryListener.Close()
		engine.Close()
		client.Close()
	})
	path := "/v1/chat/completions"
	return "http://" + engineListener.Addr().String() + path, "http://" + entryListener.Addr().String() + path
}

// benchEngine answers immediately, or streams one token every tokenPause that contains
// the time at which it was sent.
func benchEngine(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !strings.Contains(string(body), `"stream":true`) {
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, wholeAnswer)
		return
	}
	for range tokensPerCall {
		time.Sleep(tokenPause)
		streamWords(w, strconv.FormatInt(time.Now().UnixNano(), 10))
	}
	endStream(w)
}

// cpuTime returns the CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchClient returns a client that keeps enough idle connections.
func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// send sends one request and requires status 200.
func send(b *testing.B, client *http.Client, url, body string) *http.Response {
	request, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		b.Fatal(response.Status)
	}
	return response
}

// BenchmarkWhole measures calls that are not streamed, directly at the engine and
// through one entry host. The difference in cpu-us/op is the cost of the host.
func BenchmarkWhole(b *testing.B) {
	direct, hop := benchHop(b)
	for _, c := range []struct{ name, url string }{{"direct", direct}, {"hop", hop}} {
		b.Run(c.name, func(b *testing.B) {
			client := benchClient()
			latencies := make([]time.Duration, 0, b.N)
			before := cpuTime(b)
			for b.Loop() {
				start := time.Now()
				response := send(b, client, c.url, callBody)
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				latencies = append(latencies, time.Since(start))
			}
			report(b, latencies, cpuTime(b)-before, b.N, "cpu-us/op")
		})
	}
}

// parallelCallers is the number of callers per processor in BenchmarkThroughput.
const parallelCallers = 32

// BenchmarkThroughput measures calls that are not streamed with many concurrent
// callers. With GOMAXPROCS=1, the difference in cpu-us/op is the cost of the host on a
// busy core.
func BenchmarkThroughput(b *testing.B) {
	direct, hop := benchHop(b)
	for _, c := range []struct{ name, url string }{{"direct", direct}, {"hop", hop}} {
		b.Run(c.name, func(b *testing.B) {
			client := benchClient()
			b.SetParallelism(parallelCallers)
			before := cpuTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					response := send(b, client, c.url, callBody)
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			})
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkToken measures the time from the engine's write of a token to the caller's
// read, directly and through one entry host.
func BenchmarkToken(b *testing.B) {
	direct, hop := benchHop(b)
	for _, c := range []struct{ name, url string }{{"direct", direct}, {"hop", hop}} {
		b.Run(c.name, func(b *testing.B) {
			client := benchClient()
			var latencies []time.Duration
			before := cpuTime(b)
			for b.Loop() {
				response := send(b, client, c.url, streamBody)
				latencies = append(latencies, tokenLatencies(response.Body)...)
				response.Body.Close()
			}
			report(b, latencies, cpuTime(b)-before, len(latencies), "cpu-us/token")
		})
	}
}

// tokenLatencies returns the latency of each token of a stream.
func tokenLatencies(body io.Reader) []time.Duration {
	var latencies []time.Duration
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		var sent int64
		_, rest, found := strings.Cut(scanner.Text(), `"content":"`)
		if !found {
			continue
		}
		fmt.Sscanf(rest, "%d", &sent)
		latencies = append(latencies, time.Duration(time.Now().UnixNano()-sent))
	}
	return latencies
}

// report adds the latencies and the CPU time to the benchmark's metrics.
func report(b *testing.B, latencies []time.Duration, cpu time.Duration, count int, unit string) {
	slices.Sort(latencies)
	microseconds := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
	b.ReportMetric(microseconds(latencies[len(latencies)/2]), "p50-us")
	b.ReportMetric(microseconds(latencies[len(latencies)*99/100]), "p99-us")
	b.ReportMetric(microseconds(cpu)/float64(count), unit)
}
