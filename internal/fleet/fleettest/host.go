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

// ListsStream is a second stream that members follow.
const ListsStream = "lists"

// Host is one process of a Fleet.
type Host struct {
	ID     structs.HostID
	IP     string
	Member *fleet.Member
	Client *control.Client
	Server *control.Server
	Lists  *Journal
	// Stops are called, the last first, when the host stops.
	Stops []func()

	fleet  *Fleet
	cancel context.CancelFunc
	done   sync.WaitGroup
	once   sync.Once
	dead   bool
}

// Journal is a handler that counts records.
type Journal struct {
	mu      sync.Mutex
	records []logservice.Record
}

// Apply keeps the records.
func (j *Journal) Apply(records []logservice.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, records...)
}

// Trimmed does nothing.
func (j *Journal) Trimmed(structs.Offset) {}

// Len is the number of records.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.records)
}

// startHost builds and runs a host.
func startHost(t testing.TB, f *Fleet, index int, ip string) *Host {
	t.Helper()
	network := f.Network.Host(ip)
	h := &Host{ID: IDOf(index), IP: ip, fleet: f, Client: control.NewClient(network), Server: control.NewServer(), Lists: &Journal{}}
	address := ip + ":7000"
	config := fleet.Config{
		Self:      fleet.Host{ID: h.ID, Region: "r", Domain: DomainOf(index, f.Domains), EntryAddress: ip + ":80", ControlAddress: address},
		Appender:  appender{f.Log, h.ID},
		Caller:    h.Client,
		Retention: f.Retention,
		OnEvicted: func() { f.noteEvicted(h.ID) },
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

// Kill ends the host as when its process dies: nothing is sent any more.
func (h *Host) Kill() {
	h.once.Do(func() {
		h.fleet.mu.Lock()
		h.dead = true
		h.fleet.mu.Unlock()
		h.fleet.Network.Kill(h.IP)
		h.cancel()
		h.Client.Close()
		h.Server.Close()
		for i := len(h.Stops) - 1; i >= 0; i-- {
			h.Stops[i]()
		}
		h.done.Wait()
	})
}

// CutPeers cuts the host off from all other hosts, or restores it.
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

// Stop drains the host in order: leaving, handed over, left, end.
func (h *Host) Stop(t testing.TB, handedOver func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := h.Member.Leave(ctx); err != nil {
		t.Errorf("%s: %v", h.ID, err)
	}
	for !handedOver() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	if ctx.Err() != nil {
		t.Errorf("%s has not handed its partitions over", h.ID)
	}
	if err := h.Member.Left(ctx); err != nil {
		t.Errorf("%s: %v", h.ID, err)
	}
	h.Kill()
}
