package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
)

// TestRequestHeaders guards against headers of hosts that reach a replica or a caller, and against
// requests for another incarnation of a replica.
func TestRequestHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{"Kept": {"1"}}
	(&Request{ID: "r", Replica: replica.Record{ID: "i", Born: 7}, Deadline: time.Now().Add(time.Second)}).encode(h)
	got, ok := Decode(h)
	is.True(ok)
	is.Equal(got.ID, "r")
	is.Equal(got.Replica, "i")
	is.Equal(got.Incarnation, int64(7))
	is.True(got.Remaining > 900*time.Millisecond && got.Remaining <= time.Second)
	RemoveHeaders(h)
	is.Equal(h, http.Header{"Kept": {"1"}})
	for _, invalid := range []http.Header{{}, {headerReplica: {"i"}}, {headerReplica: {"i"}, headerIncarnation: {"x"}, headerRemaining: {"1"}},
		{headerReplica: {"i"}, headerIncarnation: {"1"}, headerRemaining: {""}}} {
		_, ok := Decode(invalid)
		is.True(!ok)
	}
}

// TestOutcomes guards against an outcome that promises more than is known: without a valid one,
// the request may have run.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	is.Equal(outcomeOfError(nil), Answered)
	is.Equal(outcomeOfError(forward.ErrBroken), Broken)
	is.Equal(outcomeOfError(forward.ErrInvalidAnswer), Invalid)
	is.Equal(outcomeOfError(http.ErrHandlerTimeout), Broken)
	for _, text := range []string{"", "sent", "ANSWERED"} {
		is.Equal(outcomeOf(http.Header{headerOutcome: {text}}), Broken)
	}
	is.Equal(Broken.err(), forward.ErrBroken)
	is.Equal(Invalid.err(), forward.ErrInvalidAnswer)
}
