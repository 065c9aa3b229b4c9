package logservice_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

const (
	logIP  = "10.0.0.1"
	hostIP = "10.0.0.2"
)

// testEnv is a log server and a client of it on an in-memory network.
type testEnv struct {
	network *transport.Memory
	server  *logserver.Server
	client  *logservice.Client
}

func newTestEnv(t *testing.T, settings logserver.Settings) *testEnv {
	t.Helper()
	env := &testEnv{network: transport.NewMemory(), server: logserver.New(settings)}
	served, err := standin.Listen(context.Background(), env.network.Host(logIP), logIP+":80", env.server)
	if err != nil {
		t.Fatal(err)
	}
	env.client = logservice.NewClient(env.network.Host(hostIP), served.Address())
	t.Cleanup(func() {
		env.client.Close()
		_ = served.Close()
	})
	return env
}

// follow starts a follower that runs until the end of the test.
func (env *testEnv) follow(t *testing.T, handler logservice.Handler, options logservice.FollowerOptions) *logservice.Follower {
	t.Helper()
	f := logservice.NewFollower(env.client, "fleet", handler, event.Discard(), options)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return f
}

// recordingHandler is a Handler that stores what it receives.
type recordingHandler struct {
	mu      sync.Mutex
	offsets []structs.Offset
	ids     []string
	trims   []structs.Offset
}

func (h *recordingHandler) Apply(records []logservice.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, record := range records {
		h.offsets = append(h.offsets, record.Offset)
		h.ids = append(h.ids, record.ID)
	}
}

func (h *recordingHandler) Trimmed(first structs.Offset) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trims = append(h.trims, first)
}

func (h *recordingHandler) trimmed() []structs.Offset {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]structs.Offset(nil), h.trims...)
}

// checkContiguous fails the test unless each offset from first to last was received once
// and in order.
func (h *recordingHandler) checkContiguous(t *testing.T, first, last structs.Offset) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if want := int(last - first + 1); len(h.offsets) != want {
		t.Fatalf("received %d records, want %d: %v", len(h.offsets), want, h.offsets)
	}
	for i, offset := range h.offsets {
		if offset != first+structs.Offset(i) {
			t.Fatalf("record %d has offset %d, want %d", i, offset, first+structs.Offset(i))
		}
	}
}

// waitForFollowers gives followers time to read to the end of the log. A backoff delay
// lasts up to 2 s.
func waitForFollowers() { time.Sleep(6 * time.Second) }
