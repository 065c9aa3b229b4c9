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
	// renewInterval is how often a host renews its record: about three times within
	// recordTimeout.
	renewInterval = 12 * time.Second
	// pollInterval is how often the records of all hosts are read. A host that starts
	// reads them immediately and sends heartbeats, so that the others learn of it before
	// their next poll.
	pollInterval = 10 * time.Second
	// startPollInterval replaces pollInterval for startPollTime after the first read,
	// because hosts that start at the same time may not find each other's records yet.
	startPollInterval = time.Second
	startPollTime     = 5 * time.Second
	// retryInterval is the delay before the next attempt after a failed call.
	retryInterval = time.Second
	// storeTimeout limits a renewal or a poll.
	storeTimeout = 2 * time.Second
)

// registryPartition holds one record per host, keyed by the host's ID.
var registryPartition = storelog.Partition{Topic: "hosts"}

// Registry publishes this host's record in the store and reads those of the other hosts.
type Registry struct {
	table  *Table
	log    storelog.Log
	events *event.Logger
}

// NewRegistry returns a registry that adds the hosts it reads to table.
func NewRegistry(table *Table, log storelog.Log, events *event.Logger) *Registry {
	return &Registry{table: table, log: log, events: events}
}

// Run renews this host's record and polls the others until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	next := int64(-1)
	var lastRenewal, firstPoll, healthySince boottime.Instant
	for ctx.Err() == nil {
		var renewErr error
		if lastRenewal == 0 || boottime.Since(lastRenewal) >= renewInterval {
			if renewErr = r.renew(ctx); renewErr == nil {
				lastRenewal = boottime.Now()
			}
		}
		end, pollErr := r.poll(ctx, next)
		next = end
		if pollErr != nil || healthySince == 0 {
			healthySince = boottime.Now()
		}
		if pollErr == nil && firstPoll == 0 {
			firstPoll = boottime.Now()
		}
		if boottime.Since(healthySince) > recordTimeout {
			r.table.Expire()
		}
		pause := pollInterval
		switch {
		case renewErr != nil || pollErr != nil:
			pause = retryInterval
		case boottime.Since(firstPoll) < startPollTime:
			pause = startPollInterval
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
		panic("encode host record: " + err.Error())
	}
	_, err = r.log.Append(ctx, registryPartition, storelog.AnyEnd, []storelog.Record{{Key: r.table.self.ID, Value: value}})
	return err
}

// Remove deletes this host's record before a planned stop.
func (r *Registry) Remove(ctx context.Context) error {
	_, err := r.log.Append(ctx, registryPartition, storelog.AnyEnd, []storelog.Record{{Key: r.table.self.ID}})
	return err
}

// poll reads the records from offset next on, or all records if next is negative. It
// returns the offset for the next poll.
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
	r.table.HandleRecord(h)
}
