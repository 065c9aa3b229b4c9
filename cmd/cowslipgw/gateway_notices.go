package main

import (
	"slices"
	"time"

	"cowslipgw/internal/peers"
	"cowslipgw/internal/replica"
)

const (
	// leavingInterval is how often the host repeats which replicas are leaving, for hosts that have
	// started or were cut off.
	leavingInterval = 2 * time.Second
	// maxLeavingPerNotice keeps a notice below the size of a datagram.
	maxLeavingPerNotice = 32
)

// receive handles what another host tells beside its own condition.
func (p *gatewayProcess) receive(b peers.Heartbeat) {
	p.limiter.ApplyUsage(b.Host.ID, b.Host.Incarnation, peers.UsageReport{Counts: b.Usage, Past: b.PastUsage})
	p.admission.ApplyReport(b.Host.ID, b.InFlight)
	p.learnFleetInFlight(b.FleetInFlight)
	for _, limit := range b.Limits {
		p.replicas.LearnLimit(limit.Replica, limit.Incarnation, limit.PerSecond)
	}
	p.replicas.LearnLeaving(b.LeavingReplicas)
	for _, cold := range b.ColdReplicas {
		p.replicas.LearnCold(cold.Replica, time.Duration(cold.RemainingMS)*time.Millisecond)
	}
	p.quarantine.Receive(b.Host.ID, b.Notice)
}

// learnFleetInFlight passes what the owners of services report on the load of replicas to the choice
// of replicas.
func (p *gatewayProcess) learnFleetInFlight(totals []peers.ServiceInFlight) {
	for _, t := range totals {
		p.replicas.LearnFleetInFlight(t.Service, t.Replicas)
	}
}

// inFlightReports returns what this host reports. Messages to all hosts do not reach their sender.
func (p *gatewayProcess) inFlightReports(reports peers.InFlightReports) peers.InFlightReports {
	p.learnFleetInFlight(reports.All)
	return reports
}

// announceLimit tells all other hosts the rate of requests that a replica accepts.
func (p *gatewayProcess) announceLimit(r replica.Record, perSecond float64) {
	p.beacon.Broadcast(peers.Notice{Limits: []peers.ReplicaLimit{{Replica: r.ID, Incarnation: r.Born, PerSecond: perSecond}}})
}

// announceLeaving tells all other hosts which replicas are about to end.
func (p *gatewayProcess) announceLeaving(leaving []replica.Incarnation) {
	for part := range slices.Chunk(leaving, maxLeavingPerNotice) {
		p.beacon.Broadcast(peers.Notice{LeavingReplicas: part})
	}
}

// announceCold tells all other hosts that a replica is cold.
func (p *gatewayProcess) announceCold(i replica.Incarnation, remaining time.Duration) {
	p.beacon.Broadcast(peers.Notice{ColdReplicas: []peers.ColdReplica{{Replica: i, RemainingMS: remaining.Milliseconds()}}})
}
