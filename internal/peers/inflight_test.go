package peers

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// goldenInFlight is a heartbeat with the fields 17 and 18 as hosts of this build send it. It stays as
// it is; a later build adds fields.
const goldenInFlight = "a601a501613202030361610460056002f403f507041181831aabcdef01a1071901f4a1090612818305f6a11affffffff1818"

// goldenWithoutInFlight is the same heartbeat of a host of an earlier build.
const goldenWithoutInFlight = "a401a501613202030361610460056002f403f50704"

func inFlightHeartbeat() Heartbeat {
	return Heartbeat{Host: Host{ID: "2", Incarnation: 3, Addr: "a"}, Condition: Condition{Serving: true}, Sequence: 4,
		InFlight:      []ServiceInFlight{{Service: 0xabcdef01, Routes: map[uint32]uint16{7: 500}, Replicas: map[uint32]uint16{9: 6}}},
		FleetInFlight: []ServiceInFlight{{Service: 5, Replicas: map[uint32]uint16{0xffffffff: 24}}}}
}

// TestInFlightKeepsItsBytes guards against a build whose reports the build before does not
// understand.
func TestInFlightKeepsItsBytes(t *testing.T) {
	is := is.New(t)
	data, err := cbor.Marshal(inFlightHeartbeat())
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), goldenInFlight)
	golden, err := hex.DecodeString(goldenInFlight)
	is.NoErr(err)
	var got Heartbeat
	is.NoErr(cbor.Unmarshal(golden, &got))
	is.Equal(got, inFlightHeartbeat())

	var fields map[int]cbor.RawMessage
	is.NoErr(cbor.Unmarshal(golden, &fields))
	var own, fleet []ServiceInFlight
	is.NoErr(cbor.Unmarshal(fields[17], &own))
	is.Equal(own, inFlightHeartbeat().InFlight)
	is.NoErr(cbor.Unmarshal(fields[18], &fleet))
	is.Equal(fleet, inFlightHeartbeat().FleetInFlight)
}

// TestHeartbeatWithoutInFlight guards against a host that sends the fields although it has nothing to
// report, and against one that expects them of hosts of earlier builds.
func TestHeartbeatWithoutInFlight(t *testing.T) {
	is := is.New(t)
	beat := inFlightHeartbeat()
	beat.InFlight, beat.FleetInFlight = nil, nil
	data, err := cbor.Marshal(beat)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), goldenWithoutInFlight)
	var got Heartbeat
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(got, beat)
}

// TestInFlightMessages guards against reports to hosts that do not need them or have left, and against
// messages without content.
func TestInFlightMessages(t *testing.T) {
	is := is.New(t)
	table := newTestTable(5, true)
	is.Equal(len(table.inFlightMessages(InFlightReports{})), 0)
	report := inFlightHeartbeat().InFlight
	others := table.Others()
	due := table.inFlightMessages(InFlightReports{ByHost: map[string][]ServiceInFlight{others[0].ID: report, "gone": report}})
	is.Equal(len(due), 1)
	is.Equal(due[0].To, []Host{others[0]})
	is.Equal(due[0].Message.InFlight, report)
	due = table.inFlightMessages(InFlightReports{All: report})
	is.Equal(len(due), 1)
	is.Equal(len(due[0].To), len(others))
	is.Equal(due[0].Message.FleetInFlight, report)
	is.Equal(len(due[0].Message.InFlight), 0)
}

// TestInFlightIsReceived guards against reports that the receiver drops because the message contains
// no usage or notice.
func TestInFlightIsReceived(t *testing.T) {
	is := is.New(t)
	table := newTestTable(5, true)
	var received []Heartbeat
	b := &Beacon{table: table, received: func(h Heartbeat) { received = append(received, h) }, events: event.Discard()}
	beat := inFlightHeartbeat()
	beat.Host = table.Others()[0]
	data, err := cbor.Marshal(beat)
	is.NoErr(err)
	b.receive(data)
	is.Equal(len(received), 1)
	is.Equal(received[0].InFlight, beat.InFlight)
	is.Equal(received[0].FleetInFlight, beat.FleetInFlight)
}

// TestSizeOfReports guards against reports that do not fit in one packet between hosts.
func TestSizeOfReports(t *testing.T) {
	is := is.New(t)
	const packet = 1400 // bytes
	report := func(routes, replicas int) []ServiceInFlight {
		s := ServiceInFlight{Service: 1 << 31, Routes: map[uint32]uint16{}, Replicas: map[uint32]uint16{}}
		for n := range routes {
			s.Routes[1<<31+uint32(n)] = 100
		}
		for n := range replicas {
			s.Replicas[1<<31+uint32(n)] = 24
		}
		return []ServiceInFlight{s}
	}
	host := Host{ID: "host-80", Incarnation: 1 << 40, Addr: "127.0.0.1:40000", Entry: "127.0.0.1:40001", Relay: "127.0.0.1:40002", Domain: "domain-1", Cores: 0.192}
	own, err := cbor.Marshal(Heartbeat{Host: host, Sequence: 1 << 20, InFlight: report(3, 11)})
	is.NoErr(err)
	fleet, err := cbor.Marshal(Heartbeat{Host: host, Sequence: 1 << 20, FleetInFlight: report(0, 48)})
	is.NoErr(err)
	t.Logf("%d bytes for 11 requests of a host; %d bytes for 48 replicas of the fleet", len(own), len(fleet))
	is.True(len(own) <= packet)
	is.True(len(fleet) <= packet)
}
