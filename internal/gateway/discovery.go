package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/replica"
)

const (
	// discoveryInterval is how often the records of replicas are read. A leaving replica
	// may get requests for two seconds and more after its record says so.
	discoveryInterval = 500 * time.Millisecond
	// discoveryMax bounds the time between two reads in a large fleet.
	discoveryMax = time.Second
	// returnTime is how long after the store's return the records of live replicas that
	// lapsed meanwhile may be missing.
	returnTime = 2200 * time.Millisecond
)

// ReplicaChanges are the changes of replicas' records since the last read.
type ReplicaChanges struct {
	Put     []replica.Record
	Removed []string
	// All says that Put holds all records.
	All bool
}

// ReplicaSource reads the records of replicas.
type ReplicaSource interface {
	Replicas(ctx context.Context) (ReplicaChanges, error)
}

// Discovery follows the records of replicas.
type Discovery struct {
	source ReplicaSource
	set    *replica.Set
	hosts  func() int
	loaded atomic.Bool
}

// NewDiscovery returns a follower that fills set. Hosts returns the number of hosts
// that read the records.
func NewDiscovery(source ReplicaSource, set *replica.Set, hosts func() int) *Discovery {
	return &Discovery{source: source, set: set, hosts: hosts}
}

// Run follows the records until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	// failed is the end of the last failed read; none has failed at first.
	failed := boottime.Now().Add(-time.Hour)
	for ctx.Err() == nil {
		changes, err := d.source.Replicas(ctx)
		if err != nil {
			failed = boottime.Now()
			d.set.Postpone(returnTime)
		} else {
			d.loaded.Store(true)
			d.apply(changes, max(returnTime-boottime.Since(failed), 0))
		}
		d.set.Sweep()
		select {
		case <-time.After(pace(discoveryInterval, discoveryMax, d.hosts())):
		case <-ctx.Done():
		}
	}
}

// Loaded reports whether the records were read at least once.
func (d *Discovery) Loaded() bool { return d.loaded.Load() }

func (d *Discovery) apply(changes ReplicaChanges, grace time.Duration) {
	for _, id := range changes.Removed {
		d.set.Remove(id, grace)
	}
	present := make(map[string]bool, len(changes.Put))
	for _, record := range changes.Put {
		present[record.ID] = true
		d.set.Put(record)
	}
	if changes.All {
		d.set.Retain(present, grace)
	}
}
