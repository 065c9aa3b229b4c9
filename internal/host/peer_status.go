package host

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// Names of the control service by which hosts ask each other about their state.
const (
	peerService      = "Host"
	methodPeerStatus = peerService + ".Status"
)

const (
	// peerTimeout bounds one question to a peer.
	peerTimeout = time.Second
	// peerWorkers is how many peers are asked at the same time.
	peerWorkers = 16
)

// PeerStatus is what a host tells others about itself.
type PeerStatus struct {
	View structs.ViewNumber
	// Lists is the version of the lists in force, Folded the last record folded.
	Lists, Folded structs.Offset
	Partitions    int
	Active        int64
}

// PeerRPC answers other hosts.
type PeerRPC struct {
	host *Host
}

// Status answers Host.Status.
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

// askPeers asks all hosts of the view for their state, this one included. Hosts that do
// not answer in time are missing in the result.
func (h *Host) askPeers(ctx context.Context) map[structs.HostID]PeerStatus {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	found := map[structs.HostID]PeerStatus{h.options.Settings.ID: h.peerStatus()}
	var workers sync.WaitGroup
	queue := make(chan fleet.Host)
	for range peerWorkers {
		workers.Go(func() {
			for peer := range queue {
				var status PeerStatus
				if h.controlClient.Call(ctx, peer.ControlAddress, methodPeerStatus, struct{}{}, &status) == nil {
					mu.Lock()
					found[peer.ID] = status
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
	return found
}

// inForce counts the hosts that have folded a version of the lists.
func inForce(peers map[structs.HostID]PeerStatus, version structs.Offset) int {
	count := 0
	for _, peer := range peers {
		if peer.Folded >= version {
			count++
		}
	}
	return count
}

// awaitInForce asks the peers until all hosts of the view have a version or the time
// ends, and returns how many have it.
func (h *Host) awaitInForce(ctx context.Context, version structs.Offset) (have, hosts int) {
	ticker := time.NewTicker(inForceCheck)
	defer ticker.Stop()
	for {
		have, hosts = inForce(h.askPeers(ctx), version), len(h.member.View().Hosts)
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
