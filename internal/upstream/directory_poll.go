package upstream

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
)

// Paths and size limits of the polled documents.
const (
	hostsPath        = "/hosts"
	loadPath         = "/v1/load"
	maxHostListBytes = 16 << 20
	maxLoadBytes     = 4 << 20
)

// States and kinds of a replica.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
	kindEngine   = "engine"
	kindApp      = "app"
)

// errMissingHosts means that the response of the host list service has no "hosts"
// member.
var errMissingHosts = errors.New(`host list has no "hosts" member`)

// pollHostList reads the host list once.
func (d *Directory) pollHostList(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var list struct {
		Hosts *[]Replica `json:"hosts"`
	}
	err := d.options.Client.getJSON(pollCtx, d.options.HostList, hostsPath, maxHostListBytes, &list)
	if err == nil && list.Hosts == nil {
		err = errMissingHosts
	}
	if ctx.Err() != nil {
		return
	}
	d.recordPollResult(err)
	if err == nil {
		d.replaceList(d.validEntries(*list.Hosts))
	}
}

// recordPollResult logs when the host list becomes unavailable or available again.
func (d *Directory) recordPollResult(err error) {
	d.mu.Lock()
	wasDown := d.listDown
	d.listDown = err != nil
	d.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		d.options.Logger.Log(event.HostListUnreachable, event.Fields{"error": err})
	case err == nil && wasDown:
		d.options.Logger.Log(event.HostListRecovered, nil)
	}
}

// validEntries returns the valid entries of the host list. An invalid entry is logged
// when it first appears, not on every poll.
func (d *Directory) validEntries(entries []Replica) map[structs.ReplicaID]Replica {
	replicas := make(map[structs.ReplicaID]Replica, len(entries))
	faults := make(map[structs.ReplicaID]string)
	defer func() { d.entryFaults = faults }()
	for _, entry := range entries {
		fault := entryFault(entry)
		if _, duplicate := replicas[entry.ID]; duplicate {
			fault = "id is listed twice"
		}
		if fault != "" {
			faults[entry.ID] = fault
			if d.entryFaults[entry.ID] != fault {
				d.options.Logger.Log(event.HostListEntryInvalid, event.Fields{"replica": entry.ID, "fault": fault})
			}
			continue
		}
		replicas[entry.ID] = entry
	}
	return replicas
}

// entryFault returns a description of what is invalid in an entry of the host list, or
// "" if it is valid.
func entryFault(entry Replica) string {
	switch {
	case entry.ID == "":
		return "id is empty"
	case entry.Pool == "":
		return "pool is empty"
	case entry.State != stateLive && entry.State != stateLeaving:
		return `state is neither "live" nor "leaving"`
	case entry.Kind != kindEngine && entry.Kind != kindApp:
		return `kind is neither "engine" nor "app"`
	}
	if _, err := netip.ParseAddrPort(entry.Address); err != nil {
		return `address is not "ip:port"`
	}
	return ""
}

// pollLoads polls the load of the replicas, with a limited number of workers.
func (d *Directory) pollLoads(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(loadWorkers)
	for _, replica := range d.All() {
		if d.options.WantLoad != nil && !d.options.WantLoad(replica.Pool) {
			continue
		}
		group.Go(func() error {
			d.pollLoad(ctx, replica)
			return nil
		})
	}
	_ = group.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyChangeLocked()
}

// pollLoad polls the load of one replica.
func (d *Directory) pollLoad(ctx context.Context, replica Replica) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var load Load
	sentAt := time.Now()
	err := d.options.Client.getJSON(pollCtx, replica.Address, loadPath, maxLoadBytes, &load)
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current, listed := d.replicas[replica.ID]
	if !listed || current.Address != replica.Address {
		return
	}
	state := d.loads[replica.ID]
	if err != nil {
		state.Failures++
		d.loads[replica.ID] = state
		return
	}
	wasLeaving := state.Load.Leaving
	load.At = sentAt
	d.loads[replica.ID] = LoadState{Load: load, Reported: true}
	if wasLeaving != load.Leaving {
		d.rebuildLocked()
	}
}
