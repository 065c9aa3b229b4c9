package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cowslipgw/internal/control"
	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

// fakeDirectory is a Directory whose content is set by tests.
type fakeDirectory struct {
	mu       sync.Mutex
	replicas []upstream.Replica
	loads    map[structs.ReplicaID]upstream.Load
	changed  chan struct{}
}

func newDirectory(replicas, slots int) *fakeDirectory {
	d := &fakeDirectory{loads: make(map[structs.ReplicaID]upstream.Load), changed: make(chan struct{})}
	for i := range replicas {
		id := structs.ReplicaID(fmt.Sprintf("r%d", i))
		d.replicas = append(d.replicas, upstream.Replica{Pool: "p", ID: id, Address: string(id) + ":1", State: "live"})
		d.loads[id] = upstream.Load{Slots: slots, At: time.Now()}
	}
	return d
}

func (d *fakeDirectory) Replicas(structs.PoolName) []upstream.Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]upstream.Replica(nil), d.replicas...)
}

func (d *fakeDirectory) Load(id structs.ReplicaID) (upstream.Load, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load, ok := d.loads[id]
	return load, ok
}

func (d *fakeDirectory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *fakeDirectory) setState(index int, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replicas[index].State = state
	close(d.changed)
	d.changed = make(chan struct{})
}

// fakeOwners returns the same owner for all pools.
type fakeOwners struct {
	mu      sync.Mutex
	address string
	term    structs.ViewNumber
}

func (o *fakeOwners) set(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.address = address
	o.term++
}

// hostOwners is the view of fakeOwners from one host.
type hostOwners struct {
	*fakeOwners
	self string
}

func (o hostOwners) Owner(structs.PoolName) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.address, o.address == o.self
}

func (o hostOwners) Term() structs.ViewNumber {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term
}

// testFleet is a set of hosts on an in-memory network.
type testFleet struct {
	network   *transport.Memory
	owners    *fakeOwners
	directory *fakeDirectory
	clients   []*Client
	services  []*Service
}

// address returns the control address of host i.
func address(i int) string { return fmt.Sprintf("10.0.0.%d:7", i+1) }

// ip returns the IP address of host i.
func ip(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func origin(i int) structs.Origin {
	return structs.Origin{Host: structs.HostID(fmt.Sprintf("h%d", i)), Incarnation: structs.Offset(i + 1)}
}

// newFleet starts hosts that dispatch to the given number of replicas. Host 0 owns
// the pool.
func newFleet(t *testing.T, hosts, replicas, slots int, limits Limits) *testFleet {
	f := &testFleet{
		network:   transport.NewMemory(),
		owners:    &fakeOwners{address: address(0), term: 1},
		directory: newDirectory(replicas, slots),
	}
	ctx, stop := context.WithCancel(context.Background())
	for i := range hosts {
		f.start(t, ctx, i, limits)
	}
	t.Cleanup(func() {
		for _, client := range f.clients {
			client.options.Control.Close()
		}
		for _, service := range f.services {
			service.Close()
		}
		stop()
		for i := range hosts {
			f.network.Kill(ip(i))
		}
		synctest.Wait()
	})
	return f
}

func (f *testFleet) start(t *testing.T, ctx context.Context, i int, limits Limits) {
	t.Helper()
	owners := hostOwners{fakeOwners: f.owners, self: address(i)}
	service := NewService(ServiceOptions{
		Host: origin(i).Host, Owners: owners, Directory: f.directory, Limits: limits, Log: event.Discard(),
	})
	server := control.NewServer()
	if err := RegisterService(server, service, nil); err != nil {
		t.Fatal(err)
	}
	network := f.network.Host(ip(i))
	listener, err := network.Listen(ctx, address(i))
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	client := NewClient(ClientOptions{
		Origin: func() structs.Origin { return origin(i) }, Owners: owners, Directory: f.directory, Service: service,
		Control: control.NewClient(network), Limits: limits, Log: event.Discard(),
	})
	go client.Run(ctx)
	f.clients = append(f.clients, client)
	f.services = append(f.services, service)
}

// request returns a request for a call from host i.
func request(i, number int) Request {
	return Request{
		Pool: "p", Account: "a", Weight: 1, Origin: origin(i),
		Call:         structs.CallID(fmt.Sprintf("h%d/%d", i, number)),
		PromptTokens: 10, MaxTokens: 10,
	}
}
