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

// runMainEnv makes the test binary run the command itself, so that tests can start
// real processes without a separate build.
const runMainEnv = "COWSLIPGW_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
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

// startProcess starts a subcommand and kills it at the end of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0], args...), out: &bytes.Buffer{}}
	p.Env = append(os.Environ(), runMainEnv+"=1")
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

// freePorts returns loopback addresses with unused ports.
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

// TestProcesses guards against faults that appear only with real processes: hosts are
// killed, frozen until they are evicted, and drained while a program is running.
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
		if status != http.StatusOK {
			t.Fatalf("turn %d at host %d: status %d: %s", turn, i, status, body)
		}
		if want := fmt.Sprintf("I see %d messages", 2*turn-1); !strings.Contains(body, want) {
			t.Fatalf("turn %d: want %q in %s", turn, want, body)
		}
	}
	next(0, 1)
	status, first, err := s.post(0, "/apps/app/pickups", `{"packs":4}`, "Idempotency-Key", "p-1")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)

	// Killed host: its partitions move, and a retry on another host gets the stored answer.
	is.NoErr(s.hosts[0].Process.Signal(syscall.SIGKILL))
	s.waitFor("the killed host to be evicted", func() bool { return s.viewSize(1) == 3 })
	next(1, 2)
	status, again, err := s.post(1, "/apps/app/pickups", `{"packs":4}`, "Idempotency-Key", "p-1")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(again, first)

	// Frozen host: it is evicted, and rejoins when it resumes.
	is.NoErr(s.hosts[1].Process.Signal(syscall.SIGSTOP))
	s.waitFor("the frozen host to be evicted", func() bool { return s.viewSize(2) == 2 })
	next(2, 3)
	is.NoErr(s.hosts[1].Process.Signal(syscall.SIGCONT))
	s.waitFor("the resumed host to rejoin", func() bool { return s.viewSize(2) == 3 && s.ready(1) })
	next(1, 4)

	// Planned stop: a stream in progress on the host completes.
	ended := make(chan string, 1)
	go func() { ended <- s.stream(2) }()
	s.waitFor("the stream to run", func() bool { return s.active(2) > 0 })
	is.NoErr(s.hosts[2].Process.Signal(syscall.SIGTERM))
	is.Equal(<-ended, "data: [DONE]")
	is.NoErr(s.hosts[2].Wait())
	s.waitFor("the stopped host to leave", func() bool { return s.viewSize(3) == 2 })
	next(3, 5)
	is.Equal(s.pickupRuns("p-1"), 1)
}
