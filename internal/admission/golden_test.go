package admission_test

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"cowslipgw/internal/admission"
)

// These bytes are on the wire between hosts of different builds. They stay as they are; a later
// build adds fields.
const (
	goldenAdmitArgs  = "a5675365727669636561736750726f6772616d1b000001000000000065526f7574656463686174685072696f72697479026a54696d654c6566744d5324"
	goldenAdmitReply = "a566526561736f6e026c526574727941667465724d5319015e65536c6f7473fb407080000000000068496e466c69676874fb40280000000000006850726f6d69736564fb406f500000000000"
)

// TestMessagesKeepTheirBytes guards against a build that does not understand the messages of the one
// before.
func TestMessagesKeepTheirBytes(t *testing.T) {
	is := is.New(t)
	args := admission.AdmitArgs{Service: "s", Program: 1 << 40, Route: "chat", Priority: 2, TimeLeftMS: -5}
	data, err := cbor.Marshal(args)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), goldenAdmitArgs)
	reply := admission.AdmitReply{Reason: admission.TooLate, RetryAfterMS: 350, Slots: 264, InFlight: 12, Promised: 250.5}
	data, err = cbor.Marshal(reply)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(data), goldenAdmitReply)

	var gotArgs admission.AdmitArgs
	is.NoErr(cbor.Unmarshal(decodeHex(t, goldenAdmitArgs), &gotArgs))
	is.Equal(gotArgs, args)
	var gotReply admission.AdmitReply
	is.NoErr(cbor.Unmarshal(decodeHex(t, goldenAdmitReply), &gotReply))
	is.Equal(gotReply, reply)
}

// TestMessageOfLaterBuild guards against a message that is rejected because of a field that a later
// build added, or lacks one of this build.
func TestMessageOfLaterBuild(t *testing.T) {
	is := is.New(t)
	data, err := cbor.Marshal(map[string]any{"Service": "s", "Program": 7, "Added": []int{1}})
	is.NoErr(err)
	var args admission.AdmitArgs
	is.NoErr(cbor.Unmarshal(data, &args))
	is.Equal(args, admission.AdmitArgs{Service: "s", Program: 7})
}

func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	data, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
