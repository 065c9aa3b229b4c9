package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/transport"
)

// entryClient is a caller that keeps its connections open and uses the hosts listed by
// /v1/entry-hosts. It fetches the list again when its TTL has expired.
type entryClient struct {
	s         *site
	transport *http.Transport
	hosts     []string
	expires   time.Time
}

func newEntryClient(s *site, ip string) *entryClient {
	return &entryClient{s: s, transport: transport.HTTPTransport(s.network.Host(ip)), hosts: []string{addressOf(0)}}
}

// address returns the address of the host to use. If the list has expired, it fetches a
// new one from the first host of the old list that answers.
func (client *entryClient) address() string {
	if time.Now().Before(client.expires) {
		return client.hosts[0]
	}
	for _, host := range client.hosts {
		got := client.send(host, call{method: http.MethodGet, path: "/v1/entry-hosts"})
		var list struct {
			Hosts []struct{ Address string }
			TTL   int `json:"ttl_seconds"`
		}
		if json.Unmarshal([]byte(got.body), &list) != nil || len(list.Hosts) == 0 {
			continue
		}
		client.hosts = nil
		for _, host := range list.Hosts {
			client.hosts = append(client.hosts, host.Address)
		}
		client.expires = time.Now().Add(time.Duration(list.TTL) * time.Second)
		return client.hosts[0]
	}
	client.s.t.Error("no host of the last list answers")
	return client.hosts[0]
}

// send sends a call exactly once, without a retry on another connection.
func (client *entryClient) send(address string, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return answer{err: err}
	}
	request.GetBody = nil
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := client.transport.RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// steadyLoad is a load that a planned stop must not disrupt.
type steadyLoad struct {
	stop context.CancelFunc
	done sync.WaitGroup
	mu   sync.Mutex
	sent int
	// pickups holds the idempotency keys of the calls that must run exactly once.
	pickups []string
}

// startSteadyLoad starts callers with short and long streams, with short calls in quick
// succession, and with calls that must not run twice.
func (s *site) startSteadyLoad() *steadyLoad {
	ctx, stop := context.WithCancel(context.Background())
	l := &steadyLoad{stop: stop}
	s.key("clinic")
	for i := range 8 {
		l.done.Go(func() {
			client := newEntryClient(s, fmt.Sprintf("10.9.1.%d", i+1))
			defer client.transport.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				l.sendOne(client, i, n)
			}
		})
	}
	return l
}

// sendOne sends one call and checks that it was neither cut off nor refused.
func (l *steadyLoad) sendOne(client *entryClient, i, n int) {
	var c call
	pause := time.Duration(100+53*i) * time.Millisecond
	switch i % 4 {
	case 0:
		c = client.s.chat("clinic", fmt.Sprintf("stop-%d-%d", i, n/20), "text").streamed().withMinTokens(150)
	case 1:
		c = client.s.chat("clinic", "", "text").streamed().withMinTokens(4000)
	case 2:
		c = client.s.chat("clinic", "", "text")
	case 3:
		key := fmt.Sprintf("pickup-%d-%d", i, n)
		c = client.s.pickup("clinic", key, "four packs")
		l.mu.Lock()
		l.pickups = append(l.pickups, key)
		l.mu.Unlock()
		pause *= 4
	}
	address := client.address()
	got := client.send(address, c)
	_, complete := got.complete()
	if got.err != nil || got.status != 200 || i%4 != 3 && !complete {
		client.s.t.Errorf("%v: call %d of caller %d at %s got %d %.200s %v", time.Now(), n, i, address, got.status, got.body, got.err)
	}
	l.mu.Lock()
	l.sent++
	l.mu.Unlock()
	time.Sleep(pause)
}

// end stops the load and checks that the pickups ran exactly once.
func (l *steadyLoad) end(s *site) {
	s.t.Helper()
	l.stop()
	l.done.Wait()
	is.New(s.t).True(l.sent > 100)
	for _, key := range l.pickups {
		if runs := s.executions(key); runs != 1 {
			s.t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// stopAll stops hosts concurrently and waits until all have stopped.
func (s *site) stopAll(hosts ...int) {
	for _, i := range hosts {
		s.host(i).stop()
	}
	for _, i := range hosts {
		s.stop(i)
	}
}

// TestPlannedStopsCutNothing guards against a planned stop that cuts off or wrongly
// refuses a request. Under load it stops each host in turn, then two hosts at once, and
// then a whole failure domain at once.
func TestPlannedStopsCutNothing(t *testing.T) {
	runSite(t, siteConfig{}, func(s *site) {
		load := s.startSteadyLoad()
		time.Sleep(5 * time.Second)
		for _, hosts := range [][]int{{0}, {1}, {2}, {3}, {4}, {5}, {0, 1}, {2, 5}} {
			s.stopAll(hosts...)
			time.Sleep(time.Second)
			for _, i := range hosts {
				s.start(i)
			}
			s.awaitReady()
		}
		load.end(s)
	})
}

// TestPlannedStopsDuringFaults guards against a planned stop that loses a request
// because the log fails at the same time.
func TestPlannedStopsDuringFaults(t *testing.T) {
	faults := map[string]logserver.Faults{
		"log slow":          {DelayMillis: 1200},
		"log loses answers": {LoseAnswers: 3},
	}
	for name, faults := range faults {
		t.Run(name, func(t *testing.T) {
			runSite(t, siteConfig{}, func(s *site) {
				load := s.startSteadyLoad()
				time.Sleep(5 * time.Second)
				s.log.SetFaults(faults)
				s.stop(2)
				s.log.SetFaults(logserver.Faults{})
				time.Sleep(5 * time.Second)
				load.end(s)
			})
		})
	}
}

// TestPlannedStopWaitsForStreams guards against a planned stop that cuts off an open
// status stream, or that does not finish after the caller has disconnected.
func TestPlannedStopWaitsForStreams(t *testing.T) {
	runSite(t, siteConfig{}, func(s *site) {
		is := is.New(s.t)
		watching, leave := context.WithTimeout(context.Background(), 3*time.Minute)
		defer leave()
		got := make(chan answer, 1)
		go func() {
			got <- s.sendTo(watching, addressOf(0), call{method: http.MethodGet, path: "/apps/app/status/stream"})
		}()
		time.Sleep(time.Second)
		started := time.Now()
		s.stop(0)
		took := time.Since(started)
		is.True(took >= 2*time.Minute) // the stream stays open until its caller disconnects
		is.True(took < 4*time.Minute)
		a := <-got
		is.True(strings.Count(a.body, "data: ") > 170) // one event per second
	})
}
