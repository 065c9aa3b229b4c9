package partition

import (
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// TestIncludes guards against reporting to a proposer that its operation did not run
// when this is unknown. The proposer would run it a second time.
func TestIncludes(t *testing.T) {
	is := is.New(t)
	lineage := []Base{{Activated: 5, Seq: 10}, {Activated: 8, Seq: 12}}
	is.Equal(includes(lineage, Base{Activated: 5, Seq: 10}), nil)
	is.Equal(includes(lineage, Base{Activated: 5, Seq: 11}), ErrNotReady)
	is.Equal(includes(lineage, Base{Activated: 8, Seq: 12}), nil)
	is.Equal(includes(lineage, Base{Activated: 4, Seq: 1}), ErrUncertain)
	is.Equal(includes(lineage, Base{Activated: 6, Seq: 1}), ErrUncertain)
}

// withoutHosts returns a view with the given number that lacks the hosts in gone.
func withoutHosts(view *fleet.View, number structs.ViewNumber, gone ...structs.HostID) *fleet.View {
	next := &fleet.View{Number: number}
	for _, host := range view.Hosts {
		keep := true
		for _, id := range gone {
			keep = keep && host.ID != id
		}
		if keep {
			next.Hosts = append(next.Hosts, host)
		}
	}
	return next
}

// TestSurveyEvaluate guards against a new owner that regards an old copy as the newest:
// it must wait for a live replica of each later view, and report a loss when there is
// none.
func TestSurveyEvaluate(t *testing.T) {
	is := is.New(t)
	first := NewTable(viewOf(1, 12, 12))
	replicas := first.Replicas(3)
	second := first.Next(withoutHosts(first.View(), 2, replicas[0].ID))
	newcomer := second.Replicas(3)[2]
	third := second.Next(withoutHosts(second.View(), 3, replicas[1].ID))
	history := []*Table{first, second, third}

	s := newSurvey(3)
	is.Equal(s.evaluate(history, true), resultPending)
	s.answered[replicas[2].ID] = true
	s.add(replicas[2].ID, Copy{ID: 3, Base: Base{Activated: 1, Seq: 4}, Valid: 1})
	is.Equal(s.evaluate(history, true), resultFound)
	is.Equal(s.evaluate(history[1:], false), resultUnknown)

	gone := third.Next(withoutHosts(third.View(), 4, replicas[2].ID, newcomer.ID))
	lost := newSurvey(3)
	lost.add("h000", Copy{ID: 3, Base: Base{Activated: 1, Seq: 4}, Valid: 1})
	is.Equal(lost.evaluate([]*Table{first, second, gone}, true), resultLost)

	// A copy known to be valid in the later views needs no further reply.
	valid := newSurvey(3)
	valid.add("h000", Copy{ID: 3, Base: Base{Activated: 1, Seq: 4}, Valid: 3})
	is.Equal(valid.evaluate([]*Table{first, second, third, gone}, true), resultFound)
}
