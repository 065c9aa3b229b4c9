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

// world is a log server and one client of it on an in-memory network.
type world struct {
	network *transport.Memory
	server  *logserver.Server
	client  *logservice.Client
}

func newWorld(t *testing.T, settings logserver.Settings) *world {
	t.Helper()
	w := &world{network: transport.NewMemory(), server: logserver.New(settings)}
	served, err := standin.Listen(context.Background(), w.network.Host(logIP), logIP+":80", w.server)
	if err != nil {
		t.Fatal(err)
	}
	w.client = logservice.NewClient(w.network.Host(hostIP), served.Address())
	t.Cleanup(func() {
		w.client.Close()
		_ = served.Close()
	})
	return w
}

// follow starts a follower that ends with the test.
func (w *world) follow(t *testing.T, handler logservice.Handler, options logservice.FollowerOptions) *logservice.Follower {
	t.Helper()
	f := logservice.NewFollower(w.client, "fleet", handler, event.Discard(), options)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return f
}

// journal is a Handler that keeps what it received.
type journal struct {
	mu      sync.Mutex
	offsets []structs.Offset
	ids     []string
	trims   []structs.Offset
}

func (j *journal) Apply(records []logservice.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, record := range records {
		j.offsets = append(j.offsets, record.Offset)
		j.ids = append(j.ids, record.ID)
	}
}

func (j *journal) Trimmed(first structs.Offset) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.trims = append(j.trims, first)
}

func (j *journal) trimmed() []structs.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]structs.Offset(nil), j.trims...)
}

// checkContiguous fails unless the offsets from first to last arrived once each
// and in order.
func (j *journal) checkContiguous(t *testing.T, first, last structs.Offset) {
	t.Helper()
	j.mu.Lock()
	defer j.mu.Unlock()
	if want := int(last - first + 1); len(j.offsets) != want {
		t.Fatalf("received %d records, want %d: %v", len(j.offsets), want, j.offsets)
	}
	for i, offset := range j.offsets {
		if offset != first+structs.Offset(i) {
			t.Fatalf("record %d has offset %d, want %d", i, offset, first+structs.Offset(i))
		}
	}
}

// settle lets followers read what there is; a backoff lasts up to 2 s.
func settle() { time.Sleep(6 * time.Second) }
