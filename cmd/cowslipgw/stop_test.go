package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/platform/platformtest"
)

const (
	// stopGrace is the grace period in the settings of platformtest.
	stopGrace = 8 * time.Second
	// bodyDelay is how long after its head the end of a body is sent.
	bodyDelay = 1200 * time.Millisecond
)

// stoppingSite is a site with one host process, whose requests take long.
type stoppingSite struct {
	*platformtest.Site
	host    platformtest.Host
	process *process
}

// startStoppingSite starts a site and waits until its host serves.
func startStoppingSite(t *testing.T) *stoppingSite {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	site, err := platformtest.NewSite(ctx)
	is.NoErr(err)
	t.Cleanup(site.Close)
	host, err := platformtest.NewHost(t.TempDir(), 0, site.StoreAddr())
	is.NoErr(err)
	s := &stoppingSite{Site: site, host: host, process: startProcess(t, "gateway", "-config", host.Settings)}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", host.Frontend)
		if err == nil {
			status := s.send(conn, platformtest.BookPath, "probe", 0).status
			conn.Close()
			if status == http.StatusOK {
				break
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("host does not serve")
		}
	}
	return s
}

// ending is how a request ended; its status is 0 without a complete answer.
type ending struct {
	status     int
	retryAfter string
}

// send sends a request that must not be repeated, the end of its body after a delay, and reads the answer.
func (s *stoppingSite) send(conn net.Conn, path, id string, delay time.Duration) ending {
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\nx",
		path, platformtest.HostName, id, s.Accounts[0].Key)
	time.Sleep(delay)
	// The host may have answered already.
	_, _ = io.WriteString(conn, "y")
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return ending{}
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return ending{}
	}
	return ending{answer.StatusCode, answer.Header.Get("Retry-After")}
}

// check reports a request that is neither answered nor refused or closed without having been run.
func (s *stoppingSite) check(t *testing.T, id string, sent time.Duration, got ending) {
	t.Helper()
	runs := len(s.Runs.Of(id))
	answered := got.status == http.StatusOK && runs == 1
	refused := got.status == http.StatusServiceUnavailable && got.retryAfter != "" && runs == 0
	closed := got.status == 0 && runs == 0
	if !answered && !refused && !closed {
		t.Errorf("%s, sent %v after the signal: status %d, Retry-After %q, run %d times", id, sent.Round(10*time.Millisecond),
			got.status, got.retryAfter, runs)
	}
}

// TestPlannedStopCutsNoRequest guards against a request that is taken late in the grace period, passed
// on and cut by the end of the process.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	s := startStoppingSite(t)
	const interval = 300 * time.Millisecond
	kinds := []string{"kept", "unused", "split"}
	connections := make(map[string]net.Conn)
	for n := range int(stopGrace / interval) {
		for _, kind := range kinds {
			id := fmt.Sprintf("%s-%d", kind, n)
			conn, err := net.Dial("tcp", s.host.Frontend)
			is.NoErr(err)
			defer conn.Close()
			connections[id] = conn
			if kind == "kept" {
				is.Equal(s.send(conn, platformtest.BookPath, "first-"+id, 0).status, http.StatusOK)
			}
		}
	}
	start := time.Now()
	is.NoErr(s.process.Process.Signal(syscall.SIGTERM))
	var wait sync.WaitGroup
	for n := range int(stopGrace / interval) {
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
		for _, kind := range kinds {
			wait.Go(func() {
				id, sent := fmt.Sprintf("%s-%d", kind, n), time.Since(start)
				delay := time.Duration(0)
				if strings.HasPrefix(kind, "split") {
					delay = bodyDelay
				}
				s.check(t, id, sent, s.send(connections[id], platformtest.LongPath, id, delay))
			})
		}
	}
	is.NoErr(s.process.Wait())
	if took := time.Since(start); took > stopGrace {
		t.Errorf("process ended %v after the signal", took)
	}
	wait.Wait()
}
