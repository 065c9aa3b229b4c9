package relay

import (
	"net/http"
	"testing"
)

// FuzzDecode guards against headers of other hosts that end the process or name no replica.
func FuzzDecode(f *testing.F) {
	f.Add("r", "i", "1", "1000", "")
	f.Add("", "i", "-9223372036854775808", "", "1")
	f.Add("r", "", "x", "9223372036854775807", "")
	f.Fuzz(func(t *testing.T, id, replica, incarnation, remaining, check string) {
		h := http.Header{headerRequestID: {id}, headerReplica: {replica}, headerIncarnation: {incarnation},
			headerRemaining: {remaining}, headerCheck: {check}}
		if got, ok := Decode(h); ok && got.Replica == "" {
			t.Fatal("no replica is named")
		}
	})
}
