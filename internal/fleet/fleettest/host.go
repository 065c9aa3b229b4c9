package fleettest

import (
	"context"
	"sync"
	"testing"
	"time"

	"cowslipgw/internal/control"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// ListsStream is the name of a second stream that every host follows.
const ListsStream = "lists"

// Host is one process of a Fleet.
type Host struct {
	ID     structs.HostID
	IP     string
	Member *fleet.Member
	Client *control.Client
	Server *control.Server
	Lists  *RecordingHandler
	// StopHooks holds functions that Kill calls in reverse order.
	StopHooks []func()

	fleet  *Fleet
	cancel context.CancelFunc
	done   sync.WaitGroup
	once   sync.Once
	dead   bool
}

// RecordingHandler is a handler that stores the records it receives.
type RecordingHandler struct {
	mu      sync.Mutex
	records []logservice.Record
}

// Apply stores the records.
func (r *RecordingHandler) Apply(records []logservice.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, records...)
}

// Trimmed does nothing.
func (j *RecordingHandler) Trimmed(structs.Offset) {}

// Len returns the number of stored records.
func (r *RecordingHandler) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// startHost creates and runs a host with the given IP address.
func startHost(t testing.TB, f *Fleet, index int, ip string) *Host {
	t.Helper()
	network := f.Network.Host(ip)
	h := &Host{ID: IDOf(index), IP: ip, fleet: f, Client: control.NewClient(network), Server: control.NewServer(), Lists: &RecordingHandler{}}
	address := ip + ":7000"
	config := fleet.Config{
		Self:      fleet.Host{ID: h.ID, Region: "r", Domain: DomainOf(index, f.Domains), EntryAddress: ip + ":80", ControlAddress: address},
		Appender:  appender{f.Log, h.ID},
		Caller:    h.Client,
		Retention: f.Retention,
		OnEvicted: func() { f.recordEviction(h.ID) },
	}
	h.Member = fleet.NewMember(config)
	membership := newFollower(f.Log, h.ID, fleet.Stream, h.Member)
	lists := newFollower(f.Log, h.ID, ListsStream, h.Lists)
	h.Member.AddSource(fleet.Stream, membership)
	h.Member.AddSource(ListsStream, lists)
	if err := h.Server.Register(fleet.ServiceName, fleet.NewService(h.Member)); err != nil {
		t.Fatal(err)
	}
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	if f.Prepare != nil {
		f.Prepare(ctx, h)
	}
	listener, err := network.Listen(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	h.done.Go(func() { h.Server.Serve(listener) })
	h.done.Go(func() { membership.run(ctx) })
	h.done.Go(func() { lists.run(ctx) })
	h.done.Go(func() { h.Member.Run(ctx) })
	return h
}

// Kill stops the host like a crash of its process: its connections close and it sends
// nothing more.
func (h *Host) Kill() {
	h.once.Do(func() {
		h.fleet.mu.Lock()
		h.dead = true
		h.fleet.mu.Unlock()
		h.fleet.Network.Kill(h.IP)
		h.cancel()
		h.Client.Close()
		h.Server.Close()
		for i := len(h.StopHooks) - 1; i >= 0; i-- {
			h.StopHooks[i]()
		}
		h.done.Wait()
	})
}

// CutPeers cuts the links between the host and all other hosts, or restores them.
func (h *Host) CutPeers(cut bool) {
	for _, other := range h.fleet.Hosts {
		if other.ID == h.ID {
			continue
		}
		if cut {
			h.fleet.Network.CutBoth(h.IP, other.IP)
		} else {
			h.fleet.Network.Restore(h.IP, other.IP)
		}
	}
}

// Stop shuts the host down gracefully: it marks the host as leaving, waits until
// handedOver reports true, removes the host from the view and kills it.
func (h *Host) Stop(t testing.TB, handedOver func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := h.Member.StartLeaving(ctx); err != nil {
		t.Errorf("%s: %v", h.ID, err)
	}
	for !handedOver() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Errorf("%s has not handed over its partitions", h.ID)
	}
	if err := h.Member.FinishLeaving(ctx); err != nil {
		t.Errorf("%s: %v", h.ID, err)
	}
	h.Kill()
}
