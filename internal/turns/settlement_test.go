package turns_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// TestNextTurnOvertakesSettlement guards against a program that is told that its budget is
// spent because its next turn arrives before the settlement of the last one.
func TestNextTurnOvertakesSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOwner(storelog.NewMemory(), nil)
		is.Equal(begin(t, o, "t1", "", 150).Outcome, turns.Granted)
		go func() {
			time.Sleep(20 * time.Millisecond)
			turn := ended("t1", "", 30)
			turn.State = turns.Closed
			o.End(deadline(t, time.Second), turn)
		}()
		is.Equal(begin(t, o, "t2", "", 150).Outcome, turns.Granted)
	})
}

// TestSpentBudgetIsReportedAtOnce guards against a program that waits for settlements which
// cannot make room for its turn.
func TestSpentBudgetIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOwner(storelog.NewMemory(), nil)
		is.Equal(begin(t, o, "t1", "", 150).Outcome, turns.Granted)
		turn := ended("t1", "", 80)
		turn.State = turns.Closed
		is.True(o.End(deadline(t, time.Second), turn).Kept)
		start := time.Now()
		is.Equal(begin(t, o, "t2", "", 150).Outcome, turns.Exhausted)
		is.True(time.Since(start) < 10*time.Millisecond)
	})
}
