package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/platform/platformtest"
)

const (
	// evacuationBound is the time after which an evacuation must have taken effect.
	evacuationBound = 5 * time.Second
	// evacuationSettings are the settings of the hosts beside those of platformtest. Keys stay usable
	// without the store, so that only the evacuation limits what a host may send.
	evacuationSettings = "zones.z2=r1\nbounds.evacuation_ms=5000\nbounds.fail_closed=false\n"
)

// evacuatedSite is a site with replicas in two failure domains and several host processes, each with
// its own way to the store.
type evacuatedSite struct {
	t *testing.T
	*platformtest.Site
	hosts     []platformtest.Host
	processes []*process
	// cut is set for a host that does not reach the store.
	cut    []*atomic.Bool
	client *platformtest.Client
	sent   int
}

// startEvacuatedSite starts a site and waits until its hosts serve.
func startEvacuatedSite(t *testing.T, hosts int) *evacuatedSite {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	site, err := platformtest.NewSite(ctx)
	is.NoErr(err)
	t.Cleanup(site.Close)
	s := &evacuatedSite{t: t, Site: site, client: platformtest.NewClient()}
	t.Cleanup(s.client.Close)
	site.Plain[0].Domain, site.Engines[0].Domain = "z2", "z2"
	is.NoErr(site.Announce(ctx, site.Plain[0], "ready"))
	is.NoErr(site.Announce(ctx, site.Engines[0], "ready"))
	dir := t.TempDir()
	for n := range hosts {
		cut := &atomic.Bool{}
		store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if cut.Load() {
				panic(http.ErrAbortHandler)
			}
			site.Store.ServeHTTP(w, r)
		}))
		t.Cleanup(store.Close)
		host, err := platformtest.NewHost(dir, n, strings.TrimPrefix(store.URL, "http://"))
		is.NoErr(err)
		file, err := os.OpenFile(host.Settings, os.O_APPEND|os.O_WRONLY, 0)
		is.NoErr(err)
		_, err = file.WriteString(evacuationSettings)
		is.NoErr(err)
		is.NoErr(file.Close())
		s.hosts, s.cut = append(s.hosts, host), append(s.cut, cut)
		s.processes = append(s.processes, startProcess(t, "gateway", "-config", host.Settings))
	}
	for n := range hosts {
		s.waitFor("every host to serve", func() bool { status, _ := s.call(n); return status == http.StatusOK })
	}
	return s
}

func (s *evacuatedSite) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("waited 15 s for %s", what)
		}
	}
}

// call sends a request to a host and returns the status and the replica that ran it, if any.
func (s *evacuatedSite) call(host int) (status int, ranAt string) {
	s.sent++
	id := fmt.Sprintf("call-%d", s.sent)
	reply := s.client.Send(context.Background(), s.hosts[host].Frontend,
		platformtest.Request{ID: id, Key: s.Accounts[0].Key, Path: platformtest.BookPath, Body: "in"})
	return reply.Status, s.ranAt(id)
}

// ranAt returns the replica that ran a request.
func (s *evacuatedSite) ranAt(id string) string {
	if runs := s.Runs.Of(id); len(runs) > 0 {
		return runs[len(runs)-1].Replica
	}
	return ""
}

// isStopped reports whether a process was stopped by a signal.
func isStopped(p *process) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		return false
	}
	_, fields, _ := strings.Cut(string(status), ") ")
	return strings.HasPrefix(fields, "T")
}

// TestEvacuationReachesAllHosts guards against hosts that send requests to an evacuated failure
// domain: one that reaches the store, one that is cut off from it, and one that is paused while the
// record is written. Both have callers all the time.
func TestEvacuationReachesAllHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	ctx := context.Background()
	s := startEvacuatedSite(t, 3)
	const cutOff, paused, whole = 0, 1, 2
	kept := s.Plain[0].ID // the only replica outside the evacuated domain
	s.cut[cutOff].Store(true)
	is.NoErr(s.processes[paused].Process.Signal(syscall.SIGSTOP))
	// The signal takes effect some time after the call; a request in between would run.
	s.waitFor("the process to be paused", func() bool { return isStopped(s.processes[paused]) })
	is.NoErr(s.Store.Put(ctx, "op", "evacuate/z1", []byte("{}")))
	acknowledged := time.Now()
	late := make(chan platformtest.Reply, 1)
	go func() {
		late <- s.client.Send(ctx, s.hosts[paused].Frontend, platformtest.Request{ID: "late", Key: s.Accounts[0].Key,
			Path: platformtest.BookPath, Body: "in", Limit: 20 * time.Second})
	}()
	for time.Since(acknowledged) < evacuationBound+time.Second {
		for _, host := range []int{cutOff, whole} {
			began := time.Now()
			status, ranAt := s.call(host)
			if ranAt != kept && ranAt != "" && began.Sub(acknowledged) >= evacuationBound {
				t.Fatalf("host %d: request ran at %s %v after the record", host, ranAt, began.Sub(acknowledged))
			}
			is.Equal(status, http.StatusOK) // a replica is left
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(s.processes[paused].Process.Signal(syscall.SIGCONT))
	<-late
	for _, run := range s.Runs.Of("late") {
		if after := run.Began.Sub(acknowledged); run.Replica != kept {
			t.Fatalf("paused host: request ran at %s %v after the record", run.Replica, after)
		}
	}
	s.waitFor("the paused host to serve", func() bool {
		status, ranAt := s.call(paused)
		is.True(ranAt == kept || ranAt == "")
		return status == http.StatusOK
	})

	is.NoErr(s.Store.Put(ctx, "op", "evacuate/z2", []byte("{}")))
	for host := range s.hosts {
		s.waitFor("both domains to be evacuated", func() bool { status, _ := s.call(host); return status == http.StatusServiceUnavailable })
	}
	is.NoErr(s.Store.Put(ctx, "op", "evacuate/z1", nil))
	for host := range s.hosts {
		s.waitFor("the evacuation to end", func() bool { status, ranAt := s.call(host); return status == http.StatusOK && ranAt != kept })
	}
}
