package peers

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"cowslipgw/internal/replica"
)

// TestColdReplicasReachBothBuilds guards against notices of cold replicas that are not sent, or that
// hosts of the build before drop together with the rest of the message.
func TestColdReplicasReachBothBuilds(t *testing.T) {
	is := is.New(t)
	want := Heartbeat{Host: Host{ID: "h"}, Notice: Notice{ColdReplicas: []ColdReplica{{Replica: replica.Incarnation{ID: "r", Born: 7}, RemainingMS: 1500}}}}
	is.True(!want.isEmpty())
	data, err := cbor.Marshal(want)
	is.NoErr(err)
	var got Heartbeat
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(got, want)
	var old earlierHeartbeat
	is.NoErr(cbor.Unmarshal(data, &old))
	is.Equal(old.Host.ID, "h")
}
