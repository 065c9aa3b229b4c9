package partition_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/control"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

// fakeViews is a fleet.HistoryViewer whose views are set by the test.
type fakeViews struct {
	self        structs.HostID
	mu          sync.Mutex
	list        []*fleet.View
	incarnation structs.Incarnation
	changed     chan struct{}
}

func (v *fakeViews) Self() structs.HostID { return v.self }

func (v *fakeViews) View() *fleet.View {
	list, _ := v.Recent()
	return list[len(list)-1]
}

func (v *fakeViews) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeViews) Recent() ([]*fleet.View, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.list), true
}

func (v *fakeViews) Incarnation() structs.Incarnation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation
}

func (v *fakeViews) set(view *fleet.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, view)
	if host, found := view.Find(v.self); found {
		v.incarnation = host.Incarnation
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// viewHarness runs managers whose views are set by the test.
type viewHarness struct {
	network  *transport.Memory
	views    map[structs.HostID]*fakeViews
	managers map[structs.HostID]*partition.Manager
	clients  map[structs.HostID]*control.Client
	lost     int
}

func newViewHarness(t *testing.T, hosts int) *viewHarness {
	h := &viewHarness{
		network:  transport.NewMemory(),
		views:    make(map[structs.HostID]*fakeViews),
		managers: make(map[structs.HostID]*partition.Manager),
		clients:  make(map[structs.HostID]*control.Client),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for i := range hosts {
		host := harnessHost(i)
		network := h.network.Host(harnessIP(host.ID))
		v := &fakeViews{self: host.ID, changed: make(chan struct{})}
		client, server := control.NewClient(network), control.NewServer()
		manager := partition.NewManager(partition.Config{
			Views:      v,
			Caller:     client,
			NewMachine: func(partition.ID) partition.StateMachine { return &opLog{} },
			OnLost:     func(partition.ID, partition.Base, partition.StateMachine) { h.lost++ },
		})
		h.views[host.ID], h.managers[host.ID], h.clients[host.ID] = v, manager, client
		if err := server.Register(partition.ServiceName, partition.NewService(manager)); err != nil {
			t.Fatal(err)
		}
		listener, err := network.Listen(ctx, host.ControlAddress)
		if err != nil {
			t.Fatal(err)
		}
		done.Go(func() { manager.Run(ctx) })
		go server.Serve(listener)
		t.Cleanup(func() {
			listener.Close()
			client.Close()
			server.Close()
		})
	}
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return h
}

func harnessIP(id structs.HostID) string { return "10.1.0." + string(id[1:]) }

func harnessHost(i int) fleet.Host {
	id := structs.HostID(fmt.Sprintf("h%d", i+1))
	return fleet.Host{
		ID:             id,
		Incarnation:    structs.Incarnation(i + 1),
		Domain:         structs.Domain(id),
		ControlAddress: harnessIP(id) + ":7000",
	}
}

// viewWith returns a view of the hosts with the given indexes. The number of the view is
// 100 + number.
func viewWith(number structs.ViewNumber, indexes ...int) *fleet.View {
	view := &fleet.View{Number: 100 + number}
	for _, i := range indexes {
		view.Hosts = append(view.Hosts, harnessHost(i))
	}
	return view
}

// set publishes a view to the given hosts and waits until the managers are idle.
func (h *viewHarness) set(view *fleet.View, hosts ...structs.HostID) {
	for _, id := range hosts {
		h.views[id].set(view)
	}
	time.Sleep(200 * time.Millisecond)
}

func (h *viewHarness) propose(host structs.HostID, id partition.ID, op string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return h.managers[host].Propose(ctx, id, put(op))
}

func (h *viewHarness) read(host structs.HostID, id partition.ID, limit time.Duration) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var ops []string
	err := h.managers[host].Propose(ctx, id, func(m partition.StateMachine) ([]byte, error) {
		ops = slices.Clone(m.(*opLog).ops)
		return nil, nil
	})
	return ops, err
}

// replicas returns the IDs of a partition's replicas in a view.
func replicas(view *fleet.View, id partition.ID) []structs.HostID {
	var ids []structs.HostID
	for _, host := range partition.NewTable(view).Replicas(id) {
		ids = append(ids, host.ID)
	}
	return ids
}

// TestOlderViewIsRefused guards against a backup in a newer view that acknowledges an
// operation of an older one, and against losing an operation when the owner catches up.
func TestOlderViewIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newViewHarness(t, 3)
		first, second := viewWith(1, 0, 1, 2), viewWith(2, 0, 1, 2)
		h.set(first, "h1", "h2", "h3")
		hosts := replicas(first, 9)
		is.NoErr(h.propose(hosts[0], 9, "a", time.Second))
		h.set(second, hosts[1])
		is.Equal(h.propose(hosts[0], 9, "b", 3*time.Second), partition.ErrUncertain)
		var reply partition.CodesReply
		request := partition.ReplicateRequest{
			From:  partition.Sender{Host: hosts[0], Incarnation: harnessHost(int(hosts[0][1] - '1')).Incarnation, View: first.Number},
			Items: []partition.ReplicateItem{{ID: 9, Activated: first.Number, First: 3, Ops: [][]byte{[]byte("c")}}},
		}
		is.NoErr(partition.NewService(h.managers[hosts[1]]).Replicate(&request, &reply))
		is.Equal(reply.Codes, []partition.Code{partition.CodeStaleView})
		h.set(second, hosts[0], hosts[2])
		ops, err := h.read(hosts[0], 9, time.Second)
		is.NoErr(err)
		is.Equal(ops, []string{"a", "b"})
	})
}

// TestServesOnlyWithAllBackups guards against an owner that serves operations, even
// reads, before all backups have its state.
func TestServesOnlyWithAllBackups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newViewHarness(t, 3)
		view := viewWith(1, 0, 1, 2)
		hosts := replicas(view, 9)
		h.network.CutBoth(harnessIP(hosts[0]), harnessIP(hosts[2]))
		h.set(view, "h1", "h2", "h3")
		is.Equal(h.propose(hosts[0], 9, "a", 5*time.Second), partition.ErrNotReady)
		_, err := h.read(hosts[0], 9, 5*time.Second)
		is.Equal(err, partition.ErrNotReady)
		status := h.managers[hosts[0]].Status()
		is.Equal(status.Serving, 0)
		is.True(status.Waiting > 0)
		h.network.Restore(harnessIP(hosts[0]), harnessIP(hosts[2]))
		is.NoErr(h.propose(hosts[0], 9, "a", 5*time.Second))
		time.Sleep(time.Second)
		is.Equal(h.managers[hosts[0]].Status(), partition.Status{View: view.Number, Serving: status.Waiting, Copies: partition.Count})
	})
}

// TestRejoinDropsCopies guards against an evicted host that rejoins with copies of its
// earlier incarnation.
func TestRejoinDropsCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newViewHarness(t, 4)
		first := viewWith(1, 0, 1, 2, 3)
		h.set(first, "h1", "h2", "h3", "h4")
		id := partition.ID(9)
		hosts := replicas(first, id)
		is.NoErr(h.propose(hosts[0], id, "a", time.Second))
		back := viewWith(3, 0, 1, 2, 3)
		for i := range back.Hosts {
			if back.Hosts[i].ID == hosts[1] {
				back.Hosts[i].Incarnation = 103
			}
		}
		h.network.CutBoth(harnessIP(hosts[0]), harnessIP(hosts[1]))
		h.set(back, hosts[1], hosts[0])
		request := partition.FetchRequest{From: partition.Sender{Host: hosts[0], Incarnation: harnessHost(int(hosts[0][1] - '1')).Incarnation, View: back.Number}, IDs: []partition.ID{id}}
		var reply partition.FetchReply
		is.NoErr(partition.NewService(h.managers[hosts[1]]).Fetch(&request, &reply))
		is.Equal(reply.Code, partition.CodeOK)
		is.Equal(len(reply.Copies), 0)
	})
}

// TestFormerReplicaFetchesNewestCopy guards against a host that becomes the owner again
// and regards its own old copy as the newest.
func TestFormerReplicaFetchesNewestCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newViewHarness(t, 4)
		first := viewWith(1, 0, 1, 2)
		second := viewWith(2, 0, 1, 2, 3)
		// The third replica of the first view is replaced by the new host h4.
		id := partition.ID(0)
		for !slices.Equal(replicas(first, id)[:2], replicas(second, id)[:2]) || replicas(second, id)[2] != "h4" {
			id++
		}
		former, owner := replicas(first, id)[2], replicas(first, id)[0]
		h.set(first, "h1", "h2", "h3")
		is.NoErr(h.propose(owner, id, "a", time.Second))
		h.network.CutBoth(harnessIP(owner), harnessIP(former))
		h.set(second, "h1", "h2", "h3", "h4")
		is.NoErr(h.propose(owner, id, "b", 2*time.Second))
		h.network.Restore(harnessIP(owner), harnessIP(former))
		// The owner drains and the others are gone, so the former replica takes over.
		third := &fleet.View{Number: second.Number + 1}
		for _, host := range second.Hosts {
			host.Leaving = host.ID == owner
			if host.ID == owner || host.ID == former {
				third.Hosts = append(third.Hosts, host)
			}
		}
		h.set(third, owner, former)
		ops, err := h.read(former, id, 5*time.Second)
		is.NoErr(err)
		is.Equal(ops, []string{"a", "b"})
		is.Equal(h.propose(owner, id, "c", time.Second), partition.ErrNotOwner)
		time.Sleep(2 * time.Second)
		is.True(h.managers[owner].HandedOver())
	})
}
