package peers

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"cowslipgw/internal/replica"
)

// earlierCrash and earlierHeartbeat are the messages of the build before CrashPrograms.
type earlierCrash struct {
	_           struct{} `cbor:",toarray"`
	Request     RequestDigest
	Replica     string
	Incarnation int64
}

type earlierHeartbeat struct {
	Host    Host           `cbor:"1,keyasint"`
	Crashes []earlierCrash `cbor:"11,keyasint,omitempty"`
}

// TestCrashesAreReadByBothBuilds guards against notices of crashes that hosts of the build before
// drop, or whose notices this build drops, while a fleet is replaced host by host.
func TestCrashesAreReadByBothBuilds(t *testing.T) {
	is := is.New(t)
	data, err := cbor.Marshal(Heartbeat{Host: Host{ID: "new"}, Notice: Notice{
		Crashes: []Crash{{Request: RequestDigest{1}, Replica: "r", Incarnation: 7}}, CrashPrograms: []uint64{9},
		LeavingReplicas: []replica.Incarnation{{ID: "l", Born: 8}}}})
	is.NoErr(err)
	var old earlierHeartbeat
	is.NoErr(cbor.Unmarshal(data, &old))
	is.Equal(old.Crashes, []earlierCrash{{Request: RequestDigest{1}, Replica: "r", Incarnation: 7}})

	data, err = cbor.Marshal(earlierHeartbeat{Host: Host{ID: "old"}, Crashes: []earlierCrash{{Request: RequestDigest{2}, Replica: "s", Incarnation: 3}}})
	is.NoErr(err)
	var got Heartbeat
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(got.Crashes, []Crash{{Request: RequestDigest{2}, Replica: "s", Incarnation: 3}})
	is.Equal(got.CrashProgram(0), uint64(0))
}

// TestNoticeBesideCondition guards against parts of a heartbeat that are lost on the way because
// another part has a field of the same name or number.
func TestNoticeBesideCondition(t *testing.T) {
	is := is.New(t)
	want := Heartbeat{Host: Host{ID: "h"}, Condition: Condition{Leaving: true, Serving: true, StoreLost: true, Overloaded: true, Stranded: true},
		Notice: Notice{LeavingReplicas: []replica.Incarnation{{ID: "l", Born: 8}}, CrashPrograms: []uint64{9},
			Limits: []ReplicaLimit{{Replica: "r", Incarnation: 7, PerSecond: 2}}}}
	data, err := cbor.Marshal(want)
	is.NoErr(err)
	var got Heartbeat
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(got, want)
}
