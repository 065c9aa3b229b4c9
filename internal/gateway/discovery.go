package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/replica"
)

const (
	// discoveryInterval is the minimum time between two reads of the replica records. A
	// replica that shuts down may receive requests for two seconds or more after its record
	// says so.
	discoveryInterval = 500 * time.Millisecond
	// maxDiscoveryInterval limits the time between two reads in a large fleet.
	maxDiscoveryInterval = time.Second
	// reregistrationGrace is how long after the store's recovery the records of live
	// replicas that expired during the outage may still be missing.
	reregistrationGrace = 2200 * time.Millisecond
)

// ReplicaChanges are the changes of replica records since the last read.
type ReplicaChanges struct {
	Put     []replica.Record
	Removed []string
	// Full is set if Put contains all records.
	Full bool
}

// ReplicaSource reads the records of replicas.
type ReplicaSource interface {
	Replicas(ctx context.Context) (ReplicaChanges, error)
}

// Discovery keeps a replica set in sync with the replica records in the store.
type Discovery struct {
	source    ReplicaSource
	set       *replica.Set
	hostCount func() int
	loaded    atomic.Bool
}

// NewDiscovery returns a Discovery that updates set. HostCount returns the number of hosts
// that read the records.
func NewDiscovery(source ReplicaSource, set *replica.Set, hostCount func() int) *Discovery {
	return &Discovery{source: source, set: set, hostCount: hostCount}
}

// Run reads the records periodically until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	// failed is the time of the last failed read; it starts far enough in the past to have
	// no effect.
	failed := boottime.Now().Add(-time.Hour)
	for ctx.Err() == nil {
		changes, err := d.source.Replicas(ctx)
		if err != nil {
			failed = boottime.Now()
			d.set.RestartGrace(reregistrationGrace)
		} else {
			d.loaded.Store(true)
			d.apply(changes, max(reregistrationGrace-boottime.Since(failed), 0))
		}
		d.set.Sweep()
		select {
		case <-time.After(pollInterval(discoveryInterval, maxDiscoveryInterval, d.hostCount())):
		case <-ctx.Done():
		}
	}
}

// Loaded reports whether the records have been read at least once.
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
	if changes.Full {
		d.set.Retain(present, grace)
	}
}
