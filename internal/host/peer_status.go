package host

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// Names of the control service with which hosts query the status of each other.
const (
	peerService      = "Host"
	methodPeerStatus = peerService + ".Status"
)

const (
	// peerTimeout bounds the status queries to all peers.
	peerTimeout = time.Second
	// peerWorkers is the number of peers that are queried concurrently.
	peerWorkers = 16
)

// PeerStatus is the status that a host reports to its peers.
type PeerStatus struct {
	View structs.ViewNumber
	// Lists is the version of the lists in force. Folded is the offset of the last lists
	// record that the host has applied.
	Lists, Folded structs.Offset
	// Partitions is the number of partitions that the host owns. Active is the number of
	// its requests in progress.
	Partitions int
	Active     int64
}

// PeerRPC is the control service that answers status queries of peers.
type PeerRPC struct {
	host *Host
}

// Status handles Host.Status.
func (p *PeerRPC) Status(_ struct{}, reply *PeerStatus) error {
	*reply = p.host.peerStatus()
	return nil
}

func (h *Host) peerStatus() PeerStatus {
	return PeerStatus{
		View:       h.member.View().Number,
		Lists:      h.store.Current().Version,
		Folded:     h.store.Folded(),
		Partitions: len(h.manager.Owned()),
		Active:     h.entry.Active(),
	}
}

// queryPeers returns the status of all hosts in the view, including this one. Hosts that
// do not answer within peerTimeout are missing from the result.
func (h *Host) queryPeers(ctx context.Context) map[structs.HostID]PeerStatus {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	statuses := map[structs.HostID]PeerStatus{h.options.Settings.ID: h.peerStatus()}
	var workers sync.WaitGroup
	queue := make(chan fleet.Host)
	for range peerWorkers {
		workers.Go(func() {
			for peer := range queue {
				var status PeerStatus
				if h.controlClient.Call(ctx, peer.ControlAddress, methodPeerStatus, struct{}{}, &status) == nil {
					mu.Lock()
					statuses[peer.ID] = status
					mu.Unlock()
				}
			}
		})
	}
	for _, peer := range h.member.View().Hosts {
		if peer.ID != h.options.Settings.ID {
			queue <- peer
		}
	}
	close(queue)
	workers.Wait()
	return statuses
}

// countInForce returns the number of hosts that have applied a version of the lists.
func countInForce(peers map[structs.HostID]PeerStatus, version structs.Offset) int {
	count := 0
	for _, peer := range peers {
		if peer.Folded >= version {
			count++
		}
	}
	return count
}

// awaitInForce polls the peers until all hosts in the view have applied a version of the
// lists or ctx is done. It returns the number of hosts that have it and the number of
// hosts in the view.
func (h *Host) awaitInForce(ctx context.Context, version structs.Offset) (have, hosts int) {
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		have, hosts = countInForce(h.queryPeers(ctx), version), len(h.member.View().Hosts)
		if have >= hosts {
			return have, hosts
		}
		select {
		case <-ctx.Done():
			return have, hosts
		case <-ticker.C:
		}
	}
}
