package standin_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/hostlist"
	"cowslipgw/internal/upstream"
)

// TestWireForms guards against stand-ins whose documents drift away from what the
// upstream package reads.
func TestWireForms(t *testing.T) {
	is := is.New(t)
	load := standin.Load{
		Running: 1, Queued: 2, Slots: 3, CacheTokens: 4, CacheLimit: 5,
		Programs: []uint64{1 << 63}, Models: []string{"m"}, Leaving: true, At: time.Unix(9, 0).UTC(),
	}
	checkSame(is, load, &upstream.Load{})
	checkSame(is, hostlist.Replica{
		Pool: "p", ID: "i", Address: "a", Domain: "d", State: hostlist.Live, Kind: "engine", ChecksFence: true,
	}, &upstream.Replica{})
}

// checkSame fails unless the other type keeps the whole document.
func checkSame(is *is.I, value, other any) {
	is.Helper()
	document, err := json.Marshal(value)
	is.NoErr(err)
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	is.NoErr(decoder.Decode(other))
	again, err := json.Marshal(other)
	is.NoErr(err)
	is.Equal(string(again), string(document))
}
