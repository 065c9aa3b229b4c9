package host

import (
	"context"
	"crypto/rand"
	"io"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/entry"
	"cowslipgw/internal/lists"
)

const (
	// inForceCheck is how often a put looks at how many hosts have the new version.
	inForceCheck = 100 * time.Millisecond
	// inForceLimit bounds the wait of a put for the other hosts.
	inForceLimit = 5 * time.Second
)

// operator is what operators see and do at this host.
type operator struct {
	host *Host
}

// Unready says why this host should get no callers.
func (o operator) Unready() []string {
	return o.host.unready()
}

// Status describes the host and what it knows of the fleet.
func (o operator) Status() any {
	return o.host.status()
}

// Lists returns the lists in force, which are empty at version 0 in a new deployment,
// or nil while this host does not know them.
func (o operator) Lists() *lists.Lists {
	if !o.host.fresh.Current() {
		return nil
	}
	return o.host.store.Current()
}

// History returns the accepted changes, the oldest first.
func (o operator) History() []lists.Change {
	return o.host.store.History()
}

// PutLists publishes a change and waits until it is judged, and for a while until it is
// in force at all hosts.
func (o operator) PutLists(ctx context.Context, edit entry.ListsEdit) (entry.ListsPut, error) {
	record := lists.Record{
		ID: "put/" + string(o.host.options.Settings.ID) + "/" + rand.Text(), Base: edit.Base, By: edit.By,
		Message: edit.Message, Accounts: edit.Accounts, Plans: edit.Plans,
	}
	result, err := lists.Put(ctx, o.host.log, o.host.store, record)
	put := entry.ListsPut{PutResult: result}
	if err != nil || result.State != lists.PutAccepted {
		return put, err
	}
	limited, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	put.InForce, put.Hosts = o.host.awaitInForce(limited, result.Version)
	return put, nil
}

// WriteMetrics writes the metrics of this host and of its process.
func (o operator) WriteMetrics(w io.Writer) {
	o.host.writeMetrics(w)
	o.host.entry.Metrics().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Status is the document of GET /admin/status.
type Status struct {
	Host     string          `json:"host"`
	Ready    bool            `json:"ready"`
	Reasons  []string        `json:"reasons"`
	View     uint64          `json:"view"`
	Lists    uint64          `json:"lists_version"`
	Current  bool            `json:"lists_current"`
	Requests int64           `json:"requests_active"`
	Backlog  int             `json:"settlements_waiting"`
	Hosts    []HostStatus    `json:"hosts"`
	Pools    []PoolStatus    `json:"pools"`
	Accounts []AccountStatus `json:"accounts"`
	Programs int             `json:"programs_owned"`
	Claims   int             `json:"claims_owned"`
}

// HostStatus is one host of the view.
type HostStatus struct {
	ID         string `json:"id"`
	Region     string `json:"region"`
	Domain     string `json:"failure_domain"`
	Address    string `json:"entry_address"`
	Leaving    bool   `json:"leaving"`
	Answers    bool   `json:"answers"`
	View       uint64 `json:"view"`
	Lists      uint64 `json:"lists_version"`
	Partitions int    `json:"partitions_owned"`
	Requests   int64  `json:"requests_active"`
}

// PoolStatus is one pool as this host sees it.
type PoolStatus struct {
	Pool     string          `json:"pool"`
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus is one replica of a pool.
type ReplicaStatus struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Domain   string `json:"failure_domain"`
	State    string `json:"state"`
	Reported bool   `json:"reported"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	Slots    int    `json:"slots"`
}

// AccountStatus is the use of one client account, at the owner of its bucket.
type AccountStatus struct {
	Account string  `json:"account"`
	Plan    string  `json:"plan"`
	Rate    float64 `json:"rate"`
	Burst   int64   `json:"burst"`
	// Level is what the bucket holds and Granted what hosts hold; absent when another
	// host owns the bucket or it was not used.
	Level   *float64 `json:"level,omitempty"`
	Granted *int64   `json:"granted,omitempty"`
}

// status collects the document.
func (h *Host) status() Status {
	reasons := h.unready()
	own := h.peerStatus()
	counts := h.service.Counts()
	s := Status{
		Host: string(h.options.Settings.ID), Ready: len(reasons) == 0, Reasons: append([]string{}, reasons...),
		View: uint64(own.View), Lists: uint64(own.Lists), Current: h.fresh.Current(), Requests: own.Active,
		Backlog: h.owners.Backlog(), Programs: counts.Programs, Claims: counts.Claims,
		Hosts: h.hostStatus(), Pools: h.poolStatus(), Accounts: []AccountStatus{},
	}
	current := h.store.Current()
	for id, a := range current.Accounts {
		plan := current.Plans[a.Plan]
		one := AccountStatus{Account: string(id), Plan: a.Plan, Rate: plan.Rate, Burst: plan.Burst}
		if bucket, ok := counts.Buckets[id]; ok {
			one.Level, one.Granted = &bucket.Level, &bucket.Held
		}
		s.Accounts = append(s.Accounts, one)
	}
	sort.Slice(s.Accounts, func(i, j int) bool { return s.Accounts[i].Account < s.Accounts[j].Account })
	return s
}

func (h *Host) hostStatus() []HostStatus {
	peers := h.askPeers(context.Background())
	all := []HostStatus{}
	for _, host := range h.member.View().Hosts {
		peer, answers := peers[host.ID]
		all = append(all, HostStatus{
			ID: string(host.ID), Region: string(host.Region), Domain: string(host.Domain), Address: host.EntryAddress,
			Leaving: host.Leaving, Answers: answers, View: uint64(peer.View), Lists: uint64(peer.Lists),
			Partitions: peer.Partitions, Requests: peer.Active,
		})
	}
	return all
}

func (h *Host) poolStatus() []PoolStatus {
	all := []PoolStatus{}
	for _, pool := range h.directory.Pools() {
		one := PoolStatus{Pool: string(pool)}
		for _, replica := range h.directory.Replicas(pool) {
			load, reported := h.directory.Load(replica.ID)
			state := replica.State
			if load.Leaving {
				state = "leaving"
			}
			one.Replicas = append(one.Replicas, ReplicaStatus{
				ID: string(replica.ID), Address: replica.Address, Domain: string(replica.Domain), State: state,
				Reported: reported, Running: load.Running, Queued: load.Queued, Slots: load.Slots,
			})
		}
		all = append(all, one)
	}
	return all
}
