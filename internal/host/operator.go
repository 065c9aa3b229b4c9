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
	// inForcePollInterval is how often an edit polls how many hosts have the new version.
	inForcePollInterval = 100 * time.Millisecond
	// inForceTimeout bounds how long an edit waits for the other hosts.
	inForceTimeout = 5 * time.Second
)

// operator implements entry.Operator, the operations of the admin API.
type operator struct {
	host *Host
}

// Unready returns the reasons why this host should get no callers.
func (o operator) Unready() []string {
	return o.host.unreadyReasons()
}

// Status returns the status document of this host and of the fleet in its view.
func (o operator) Status() any {
	return o.host.status()
}

// Lists returns the lists in force, or nil while the lists of this host may be out of
// date. In a new deployment the lists are empty and have version 0.
func (o operator) Lists() *lists.Lists {
	if !o.host.freshness.Current() {
		return nil
	}
	return o.host.store.Current()
}

// History returns the accepted changes of the lists, oldest first.
func (o operator) History() []lists.Change {
	return o.host.store.History()
}

// PutLists appends a change of the lists to the log and waits until it is accepted or
// rejected. It then waits up to inForceTimeout until an accepted change is in force at
// all hosts.
func (o operator) PutLists(ctx context.Context, edit entry.ListsEdit) (entry.ListsEditResult, error) {
	record := lists.Record{
		ID: "put/" + string(o.host.options.Settings.ID) + "/" + rand.Text(), Base: edit.Base, By: edit.By,
		Message: edit.Message, Accounts: edit.Accounts, Plans: edit.Plans,
	}
	result, err := lists.Put(ctx, o.host.log, o.host.store, record)
	editResult := entry.ListsEditResult{PutResult: result}
	if err != nil || result.State != lists.PutAccepted {
		return editResult, err
	}
	limited, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	editResult.InForce, editResult.Hosts = o.host.awaitInForce(limited, result.Version)
	return editResult, nil
}

// WriteMetrics writes the metrics of this host and of its process.
func (o operator) WriteMetrics(w io.Writer) {
	o.host.writeMetrics(w)
	o.host.entry.Metrics().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Status is the response document of GET /admin/status.
type Status struct {
	Host               string          `json:"host"`
	Ready              bool            `json:"ready"`
	Reasons            []string        `json:"reasons"`
	View               uint64          `json:"view"`
	ListsVersion       uint64          `json:"lists_version"`
	ListsCurrent       bool            `json:"lists_current"`
	Requests           int64           `json:"requests_active"`
	PendingSettlements int             `json:"settlements_waiting"`
	Hosts              []HostStatus    `json:"hosts"`
	Pools              []PoolStatus    `json:"pools"`
	Accounts           []AccountStatus `json:"accounts"`
	Programs           int             `json:"programs_owned"`
	Claims             int             `json:"claims_owned"`
}

// HostStatus describes one host of the view.
type HostStatus struct {
	ID           string `json:"id"`
	Region       string `json:"region"`
	Domain       string `json:"failure_domain"`
	Address      string `json:"entry_address"`
	Leaving      bool   `json:"leaving"`
	Answers      bool   `json:"answers"`
	View         uint64 `json:"view"`
	ListsVersion uint64 `json:"lists_version"`
	Partitions   int    `json:"partitions_owned"`
	Requests     int64  `json:"requests_active"`
}

// PoolStatus describes one pool as this host sees it.
type PoolStatus struct {
	Pool     string          `json:"pool"`
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus describes one replica of a pool.
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

// AccountStatus describes the rate limit of one client account and its current use.
type AccountStatus struct {
	Account string  `json:"account"`
	Plan    string  `json:"plan"`
	Rate    float64 `json:"rate"`
	Burst   int64   `json:"burst"`
	// Level is the number of tokens in the account's token bucket, and Granted is the
	// number of tokens that hosts hold. Both are absent if another host owns the bucket
	// or if it was never used.
	Level   *float64 `json:"level,omitempty"`
	Granted *int64   `json:"granted,omitempty"`
}

// status assembles the status document.
func (h *Host) status() Status {
	reasons := h.unreadyReasons()
	own := h.peerStatus()
	counts := h.service.Counts()
	s := Status{
		Host: string(h.options.Settings.ID), Ready: len(reasons) == 0, Reasons: append([]string{}, reasons...),
		View: uint64(own.View), ListsVersion: uint64(own.Lists), ListsCurrent: h.freshness.Current(), Requests: own.Active,
		PendingSettlements: h.owners.PendingSettlements(), Programs: counts.Programs, Claims: counts.Claims,
		Hosts: h.hostStatuses(), Pools: h.poolStatuses(), Accounts: []AccountStatus{},
	}
	current := h.store.Current()
	for id, a := range current.Accounts {
		plan := current.Plans[a.Plan]
		status := AccountStatus{Account: string(id), Plan: a.Plan, Rate: plan.Rate, Burst: plan.Burst}
		if bucket, ok := counts.Buckets[id]; ok {
			status.Level, status.Granted = &bucket.Level, &bucket.Held
		}
		s.Accounts = append(s.Accounts, status)
	}
	sort.Slice(s.Accounts, func(i, j int) bool { return s.Accounts[i].Account < s.Accounts[j].Account })
	return s
}

func (h *Host) hostStatuses() []HostStatus {
	peers := h.queryPeers(context.Background())
	statuses := []HostStatus{}
	for _, host := range h.member.View().Hosts {
		peer, answers := peers[host.ID]
		statuses = append(statuses, HostStatus{
			ID: string(host.ID), Region: string(host.Region), Domain: string(host.Domain), Address: host.EntryAddress,
			Leaving: host.Leaving, Answers: answers, View: uint64(peer.View), ListsVersion: uint64(peer.Lists),
			Partitions: peer.Partitions, Requests: peer.Active,
		})
	}
	return statuses
}

func (h *Host) poolStatuses() []PoolStatus {
	statuses := []PoolStatus{}
	for _, pool := range h.directory.Pools() {
		status := PoolStatus{Pool: string(pool)}
		for _, replica := range h.directory.Replicas(pool) {
			load, reported := h.directory.Load(replica.ID)
			state := replica.State
			if load.Leaving {
				state = "leaving"
			}
			status.Replicas = append(status.Replicas, ReplicaStatus{
				ID: string(replica.ID), Address: replica.Address, Domain: string(replica.Domain), State: state,
				Reported: reported, Running: load.Running, Queued: load.Queued, Slots: load.Slots,
			})
		}
		statuses = append(statuses, status)
	}
	return statuses
}
