package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// runMainVariable makes the test binary run the command itself, so that tests start
// real processes without a build.
const runMainVariable = "COWSLIPGW_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a running command.
type process struct {
	*exec.Cmd
	out *bytes.Buffer
}

// startProcess starts a subcommand, and kills it at the end of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0], args...), out: &bytes.Buffer{}}
	p.Env = append(os.Environ(), runMainVariable+"=1")
	p.Stderr = p.out
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		if t.Failed() {
			t.Logf("%s:\n%s", strings.Join(args, " "), p.out)
		}
	})
	return p
}

// freePorts returns loopback addresses that nothing listens on.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// TestProcesses guards against faults that only real processes show: hosts are killed,
// frozen past their eviction and drained while a program goes on.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	s := startProcessSite(t, 4)
	next := func(i, turn int) {
		t.Helper()
		status, body, err := s.chat(i, "return-1")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		if want := fmt.Sprintf("I see %d messages", 2*turn-1); !strings.Contains(body, want) {
			t.Fatalf("turn %d: want %q in %s", turn, want, body)
		}
	}
	next(0, 1)
	status, first, err := s.post(0, "/apps/app/pickups", `{"packs":4}`, "Idempotency-Key", "p-1")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)

	// A killed host: its partitions move, and a retry elsewhere gets the stored answer.
	is.NoErr(s.hosts[0].Process.Signal(syscall.SIGKILL))
	s.await("the killed host to be evicted", func() bool { return s.viewSize(1) == 3 })
	next(1, 2)
	status, again, err := s.post(1, "/apps/app/pickups", `{"packs":4}`, "Idempotency-Key", "p-1")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(again, first)

	// A frozen host: it is evicted, and joins again when it wakes up.
	is.NoErr(s.hosts[1].Process.Signal(syscall.SIGSTOP))
	s.await("the frozen host to be evicted", func() bool { return s.viewSize(2) == 2 })
	next(2, 3)
	is.NoErr(s.hosts[1].Process.Signal(syscall.SIGCONT))
	s.await("the woken host to join again", func() bool { return s.viewSize(2) == 3 && s.ready(1) })
	next(1, 4)

	// A planned stop: a stream that runs at the host ends whole.
	ended := make(chan string, 1)
	go func() { ended <- s.stream(2) }()
	s.await("the stream to run", func() bool { return s.active(2) > 0 })
	is.NoErr(s.hosts[2].Process.Signal(syscall.SIGTERM))
	is.Equal(<-ended, "data: [DONE]")
	is.NoErr(s.hosts[2].Wait())
	s.await("the stopped host to leave", func() bool { return s.viewSize(3) == 2 })
	next(3, 5)
	is.Equal(s.pickupRuns("p-1"), 1)
}
