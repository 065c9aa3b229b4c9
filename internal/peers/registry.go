package peers

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
)

const (
	// renewInterval is how often a host renews its record, about three times within
	// recordTimeout.
	renewInterval = 12 * time.Second
	// pollInterval is how often the records of the hosts are read. A host that starts reads
	// them at once and sends heartbeats, by which the others know it.
	pollInterval = 10 * time.Second
	// startInterval is the same for startTime after the first read: hosts that start
	// together may not find each other's records yet.
	startInterval = time.Second
	startTime     = 5 * time.Second
	// retryInterval is the pause after a failed call.
	retryInterval = time.Second
	// storeTimeout limits one call of the registry.
	storeTimeout = 2 * time.Second
)

// registryPartition holds one record for each host.
var registryPartition = storelog.Partition{Topic: "hosts"}

// Registry publishes this host in the store and reads the others.
type Registry struct {
	table  *Table
	log    storelog.Log
	events *event.Logger
}

// NewRegistry returns a registry that fills table.
func NewRegistry(table *Table, log storelog.Log, events *event.Logger) *Registry {
	return &Registry{table: table, log: log, events: events}
}

// Run renews and polls until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	next := int64(-1)
	var renewed, first, gap boottime.Instant
	for ctx.Err() == nil {
		var failed error
		if renewed == 0 || boottime.Since(renewed) >= renewInterval {
			if failed = r.renew(ctx); failed == nil {
				renewed = boottime.Now()
			}
		}
		end, err := r.poll(ctx, next)
		next = end
		if err != nil || gap == 0 {
			gap = boottime.Now()
		}
		if err == nil && first == 0 {
			first = boottime.Now()
		}
		if boottime.Since(gap) > recordTimeout {
			r.table.Expire()
		}
		pause := pollInterval
		switch {
		case failed != nil || err != nil:
			pause = retryInterval
		case boottime.Since(first) < startTime:
			pause = startInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// renew appends this host's record.
func (r *Registry) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := cbor.Marshal(r.table.self)
	if err != nil {
		panic("host record cannot be encoded: " + err.Error())
	}
	_, err = r.log.Append(ctx, registryPartition, storelog.AnyEnd, []storelog.Record{{Key: r.table.self.ID, Value: value}})
	return err
}

// Remove deletes this host's record before a planned stop.
func (r *Registry) Remove(ctx context.Context) error {
	_, err := r.log.Append(ctx, registryPartition, storelog.AnyEnd, []storelog.Record{{Key: r.table.self.ID}})
	return err
}

// poll reads the records from next on, or all if next is negative.
func (r *Registry) poll(ctx context.Context, next int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if next >= 0 {
		end, err := storelog.Follow(ctx, r.log, registryPartition, next, r.apply)
		if !errors.Is(err, storelog.ErrTrimmed) {
			return end, err
		}
	}
	end, err := storelog.Load(ctx, r.log, registryPartition, r.apply)
	if err != nil {
		return -1, err
	}
	return end, nil
}

func (r *Registry) apply(record storelog.Record) {
	if len(record.Value) == 0 {
		return
	}
	var h Host
	if err := cbor.Unmarshal(record.Value, &h); err != nil || h.ID == "" || h.Addr == "" {
		r.events.Log(event.HostRecordInvalid, event.Fields{"key": record.Key, "offset": record.Offset})
		return
	}
	r.table.Record(h)
}
