package partition

import (
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// replicaCount is the number of copies of a partition: the owner and two backups.
const replicaCount = 3

// none marks an unused place of a row.
const none = -1

// row holds the places in View.Hosts of a partition's replicas, the owner first.
type row [replicaCount]int16

// Table assigns the partitions to the hosts of one view. It depends on the view
// only. A Table is never changed after it is made.
type Table struct {
	view *fleet.View
	rows [Count]row
}

// NewTable computes the table of a view by rendezvous hashing. Hosts that leave
// get nothing.
func NewTable(view *fleet.View) *Table {
	t := &Table{view: view}
	p := newPlacement(view)
	for id := range t.rows {
		t.rows[id] = p.place(ID(id))
	}
	return t
}

// Next computes the table of a later view from this one. It gives the same table as
// NewTable and recomputes only the partitions that the change affects.
func (t *Table) Next(view *fleet.View) *Table {
	next := &Table{view: view}
	p := newPlacement(view)
	moved, added := p.compare(t.view)
	for id := range next.rows {
		kept, complete := t.rows[id].remap(moved)
		if complete && !p.affected(ID(id), kept, added) {
			next.rows[id] = kept
			continue
		}
		next.rows[id] = p.place(ID(id))
	}
	return next
}

// View is the view that the table belongs to.
func (t *Table) View() *fleet.View { return t.view }

// Number is the number of the table's view.
func (t *Table) Number() structs.ViewNumber { return t.view.Number }

// Owner returns the host that decides the partition's operations; false means that
// the view has no host that takes partitions.
func (t *Table) Owner(id ID) (fleet.Host, bool) {
	if t.rows[id][0] == none {
		return fleet.Host{}, false
	}
	return t.view.Hosts[t.rows[id][0]], true
}

// Replicas returns the hosts that hold the partition, the owner first.
func (t *Table) Replicas(id ID) []fleet.Host {
	hosts := make([]fleet.Host, 0, replicaCount)
	for _, place := range t.rows[id] {
		if place != none {
			hosts = append(hosts, t.view.Hosts[place])
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
	for _, place := range t.rows[id] {
		if place != none && t.view.Hosts[place].ID == host {
			return true
		}
	}
	return false
}

// same reports whether a partition has the same replicas, with the same
// incarnations and owner, in both tables.
func (t *Table) same(id ID, other *Table) bool {
	for i, place := range t.rows[id] {
		otherPlace := other.rows[id][i]
		if place == none || otherPlace == none {
			if place != otherPlace {
				return false
			}
			continue
		}
		a, b := &t.view.Hosts[place], &other.view.Hosts[otherPlace]
		if a.ID != b.ID || a.Incarnation != b.Incarnation {
			return false
		}
	}
	return true
}

// remap translates the places of a row; false means that a replica is gone or that
// there were fewer than three.
func (r row) remap(moved []int16) (row, bool) {
	for i, place := range r {
		if place == none || moved[place] == none {
			return row{}, false
		}
		r[i] = moved[place]
	}
	return r, true
}

// placement holds what the scores of one view are computed from.
type placement struct {
	view *fleet.View
	// takes are the places of the hosts that take partitions.
	takes   []int16
	seeds   []uint64
	domains []int
	scores  []uint64
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
			p.takes = append(p.takes, int16(i))
		}
	}
	return p
}

// score ranks a host for a partition with the finalizer of SplitMix64. Hosts are
// ordered by ID, so equal scores go to the lower ID on every host.
func (p *placement) score(id ID, place int16) uint64 {
	x := p.seeds[place] ^ (uint64(id)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// place picks the owner and then each backup by the best score: from a failure
// domain without a replica while there is one, and from any other host otherwise.
func (p *placement) place(id ID) row {
	for _, place := range p.takes {
		p.scores[place] = p.score(id, place)
	}
	chosen := row{none, none, none}
	for i := range chosen {
		chosen[i] = p.best(chosen[:i], true)
		if chosen[i] == none {
			chosen[i] = p.best(chosen[:i], false)
		}
	}
	return chosen
}

// best returns the best host that is not taken, in a domain that is not taken when
// spread is set.
func (p *placement) best(taken []int16, spread bool) int16 {
	var found int16 = none
	for _, place := range p.takes {
		if found != none && p.scores[place] <= p.scores[found] {
			continue
		}
		if !p.conflicts(place, taken, spread) {
			found = place
		}
	}
	return found
}

func (p *placement) conflicts(place int16, taken []int16, spread bool) bool {
	for _, other := range taken {
		if place == other || (spread && p.domains[place] == p.domains[other]) {
			return true
		}
	}
	return false
}

// compare returns the new place of each host of an older view, or none if it takes
// no partitions any more, and the places of the hosts that take partitions newly.
func (p *placement) compare(old *fleet.View) (moved, added []int16) {
	moved = make([]int16, len(old.Hosts))
	known := make([]bool, len(p.view.Hosts))
	for i, host := range old.Hosts {
		moved[i] = none
		place := p.view.Index(host.ID)
		if place < 0 || host.Leaving {
			continue
		}
		now := p.view.Hosts[place]
		if now.Leaving || now.Domain != host.Domain {
			continue
		}
		moved[i] = int16(place)
		known[place] = true
	}
	for _, place := range p.takes {
		if !known[place] {
			added = append(added, place)
		}
	}
	return moved, added
}

// affected reports whether added hosts may change a row whose hosts are all still
// there. A host with a lower score than all three replicas changes nothing, unless
// the replicas share a failure domain.
func (p *placement) affected(id ID, kept row, added []int16) bool {
	if p.conflicts(kept[0], kept[1:], true) || p.conflicts(kept[1], kept[2:], true) {
		return true
	}
	if len(added) == 0 {
		return false
	}
	lowest := p.score(id, kept[0])
	for _, place := range kept[1:] {
		lowest = min(lowest, p.score(id, place))
	}
	for _, place := range added {
		if p.score(id, place) >= lowest {
			return true
		}
	}
	return false
}
