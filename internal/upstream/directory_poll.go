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

// Paths and limits of the polled documents.
const (
	hostsPath    = "/hosts"
	loadPath     = "/v1/load"
	maxHostList  = 16 << 20
	maxLoadBytes = 4 << 20
)

// States and kinds of a replica.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
	kindEngine   = "engine"
	kindApp      = "app"
)

// errNoHosts means that an answer of the host list has no member "hosts".
var errNoHosts = errors.New(`the host list has no member "hosts"`)

// pollList reads the host list once.
func (d *Directory) pollList(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var list struct {
		Hosts *[]Replica `json:"hosts"`
	}
	err := d.options.Client.getJSON(limited, d.options.HostList, hostsPath, maxHostList, &list)
	if err == nil && list.Hosts == nil {
		err = errNoHosts
	}
	if ctx.Err() != nil {
		return
	}
	d.noteList(err)
	if err == nil {
		d.install(d.valid(*list.Hosts))
	}
}

// noteList logs when the host list stops or resumes to answer.
func (d *Directory) noteList(err error) {
	d.mu.Lock()
	was := d.down
	d.down = err != nil
	d.mu.Unlock()
	switch {
	case err != nil && !was:
		d.options.Logger.Log(event.HostListDown, event.Fields{"error": err})
	case err == nil && was:
		d.options.Logger.Log(event.HostListBack, nil)
	}
}

// valid keeps the well-formed entries of the host list. A fault is logged when it
// is first seen and not again at each poll.
func (d *Directory) valid(entries []Replica) map[structs.ReplicaID]Replica {
	replicas := make(map[structs.ReplicaID]Replica, len(entries))
	faults := make(map[structs.ReplicaID]string)
	defer func() { d.faults = faults }()
	for _, entry := range entries {
		fault := entryFault(entry)
		if _, twice := replicas[entry.ID]; twice {
			fault = "the id is listed twice"
		}
		if fault != "" {
			faults[entry.ID] = fault
			if d.faults[entry.ID] != fault {
				d.options.Logger.Log(event.HostListEntryInvalid, event.Fields{"replica": entry.ID, "fault": fault})
			}
			continue
		}
		replicas[entry.ID] = entry
	}
	return replicas
}

// entryFault says what is wrong with an entry of the host list; empty if nothing.
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

// pollLoads asks the replicas for their load, with a bounded number of workers.
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
	d.notifyLocked()
}

// pollLoad asks one replica for its load.
func (d *Directory) pollLoad(ctx context.Context, replica Replica) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var load Load
	asked := time.Now()
	err := d.options.Client.getJSON(limited, replica.Address, loadPath, maxLoadBytes, &load)
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
	was := state.Load.Leaving
	load.At = asked
	d.loads[replica.ID] = LoadState{Load: load, Reported: true}
	if was != load.Leaving {
		d.rebuildLocked()
	}
}
