package partition

import (
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// replicaCount is the number of copies of a partition: the owner and two backups.
const replicaCount = 3

// noHost marks an unused slot of an assignment.
const noHost = -1

// assignment holds the indexes in View.Hosts of a partition's replicas, the owner
// first.
type assignment [replicaCount]int16

// Table assigns the partitions to the hosts of one view. It depends only on the view
// and is immutable.
type Table struct {
	view        *fleet.View
	assignments [Count]assignment
}

// NewTable computes the table of a view by rendezvous hashing. Hosts that are leaving
// get no partitions.
func NewTable(view *fleet.View) *Table {
	t := &Table{view: view}
	p := newPlacement(view)
	for id := range t.assignments {
		t.assignments[id] = p.assign(ID(id))
	}
	return t
}

// Next computes the table of a later view from this one. The result equals that of
// NewTable, but only the partitions that the change affects are recomputed.
func (t *Table) Next(view *fleet.View) *Table {
	next := &Table{view: view}
	p := newPlacement(view)
	moved, added := p.compareViews(t.view)
	for id := range next.assignments {
		kept, complete := t.assignments[id].remap(moved)
		if complete && !p.affected(ID(id), kept, added) {
			next.assignments[id] = kept
			continue
		}
		next.assignments[id] = p.assign(ID(id))
	}
	return next
}

// View returns the view that the table belongs to.
func (t *Table) View() *fleet.View { return t.view }

// Number returns the number of the table's view.
func (t *Table) Number() structs.ViewNumber { return t.view.Number }

// Owner returns the host that decides the partition's operations. It returns false if
// the view has no host that accepts partitions.
func (t *Table) Owner(id ID) (fleet.Host, bool) {
	if t.assignments[id][0] == noHost {
		return fleet.Host{}, false
	}
	return t.view.Hosts[t.assignments[id][0]], true
}

// Replicas returns the hosts that hold the partition, the owner first.
func (t *Table) Replicas(id ID) []fleet.Host {
	hosts := make([]fleet.Host, 0, replicaCount)
	for _, index := range t.assignments[id] {
		if index != noHost {
			hosts = append(hosts, t.view.Hosts[index])
		}
	}
	return hosts
}

// Backups returns the replicas other than the owner.
func (t *Table) Backups(id ID) []fleet.Host {
	replicas := t.Replicas(id)
	if len(replicas) == 0 {
		return nil
	}
	return replicas[1:]
}

// Holds reports whether the host is a replica of the partition.
func (t *Table) Holds(id ID, host structs.HostID) bool {
	for _, index := range t.assignments[id] {
		if index != noHost && t.view.Hosts[index].ID == host {
			return true
		}
	}
	return false
}

// same reports whether the partition has the same owner and replicas, with the same
// incarnations, in both tables.
func (t *Table) same(id ID, other *Table) bool {
	for i, index := range t.assignments[id] {
		otherIndex := other.assignments[id][i]
		if index == noHost || otherIndex == noHost {
			if index != otherIndex {
				return false
			}
			continue
		}
		a, b := &t.view.Hosts[index], &other.view.Hosts[otherIndex]
		if a.ID != b.ID || a.Incarnation != b.Incarnation {
			return false
		}
	}
	return true
}

// remap translates the host indexes to a newer view. It returns false if a replica is
// gone or there were fewer than replicaCount.
func (a assignment) remap(moved []int16) (assignment, bool) {
	for i, index := range a {
		if index == noHost || moved[index] == noHost {
			return assignment{}, false
		}
		a[i] = moved[index]
	}
	return a, true
}

// placement holds the inputs of the scores for one view.
type placement struct {
	view *fleet.View
	// eligible holds the indexes of the hosts that accept partitions.
	eligible []int16
	seeds    []uint64
	domains  []int
	scores   []uint64
}

func newPlacement(view *fleet.View) *placement {
	p := &placement{
		view:    view,
		seeds:   make([]uint64, len(view.Hosts)),
		domains: make([]int, len(view.Hosts)),
		scores:  make([]uint64, len(view.Hosts)),
	}
	numbers := make(map[structs.Domain]int)
	for i, host := range view.Hosts {
		if _, known := numbers[host.Domain]; !known {
			numbers[host.Domain] = len(numbers)
		}
		p.seeds[i] = xxhash.Sum64String(string(host.ID))
		p.domains[i] = numbers[host.Domain]
		if !host.Leaving {
			p.eligible = append(p.eligible, int16(i))
		}
	}
	return p
}

// score rates a host for a partition with the SplitMix64 finalizer. Hosts are ordered
// by ID, so that ties go to the lower ID on every host.
func (p *placement) score(id ID, index int16) uint64 {
	x := p.seeds[index] ^ (uint64(id)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// assign picks the owner and then each backup by the highest score: from a failure
// domain without a replica while there is one, otherwise from any remaining host.
func (p *placement) assign(id ID) assignment {
	for _, index := range p.eligible {
		p.scores[index] = p.score(id, index)
	}
	chosen := assignment{noHost, noHost, noHost}
	for i := range chosen {
		chosen[i] = p.best(chosen[:i], true)
		if chosen[i] == noHost {
			chosen[i] = p.best(chosen[:i], false)
		}
	}
	return chosen
}

// best returns the host with the highest score that is not taken. If spread is set, it
// also skips failure domains that are taken.
func (p *placement) best(taken []int16, spread bool) int16 {
	var found int16 = noHost
	for _, index := range p.eligible {
		if found != noHost && p.scores[index] <= p.scores[found] {
			continue
		}
		if !p.conflicts(index, taken, spread) {
			found = index
		}
	}
	return found
}

// conflicts reports whether the host is already taken or, if spread is set, shares a
// failure domain with a host that is.
func (p *placement) conflicts(index int16, taken []int16, spread bool) bool {
	for _, other := range taken {
		if index == other || (spread && p.domains[index] == p.domains[other]) {
			return true
		}
	}
	return false
}

// compareViews maps each host index of an older view to its index in this view, or to
// noHost if the host no longer accepts partitions or changed its failure domain. It
// also returns the indexes of the hosts that newly accept partitions.
func (p *placement) compareViews(old *fleet.View) (moved, added []int16) {
	moved = make([]int16, len(old.Hosts))
	retained := make([]bool, len(p.view.Hosts))
	for i, host := range old.Hosts {
		moved[i] = noHost
		index := p.view.Index(host.ID)
		if index < 0 || host.Leaving {
			continue
		}
		now := p.view.Hosts[index]
		if now.Leaving || now.Domain != host.Domain {
			continue
		}
		moved[i] = int16(index)
		retained[index] = true
	}
	for _, index := range p.eligible {
		if !retained[index] {
			added = append(added, index)
		}
	}
	return moved, added
}

// affected reports whether the added hosts may change an assignment whose hosts all
// remain. A host with a lower score than all three replicas changes nothing, unless
// replicas share a failure domain.
func (p *placement) affected(id ID, kept assignment, added []int16) bool {
	if p.conflicts(kept[0], kept[1:], true) || p.conflicts(kept[1], kept[2:], true) {
		return true
	}
	if len(added) == 0 {
		return false
	}
	lowest := p.score(id, kept[0])
	for _, index := range kept[1:] {
		lowest = min(lowest, p.score(id, index))
	}
	for _, index := range added {
		if p.score(id, index) >= lowest {
			return true
		}
	}
	return false
}
