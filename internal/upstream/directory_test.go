package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

// leavingLimit is how long a leaving replica may still receive new work.
const leavingLimit = 3 * time.Second

// TestDirectoryLeaving guards against new work for replicas that leave according to the
// host list or their own report, and against an empty directory while the host list is
// unavailable.
func TestDirectoryLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := transport.NewMemory()
		var list atomic.Value
		entry := `{"pool":"p","id":"%s","address":"%s","state":"%s","kind":"engine"}`
		both := fmt.Sprintf(`{"hosts":[`+entry+`,`+entry+`]}`, "a", engineAddress, "live", "b", "10.0.0.4:80", "live")
		list.Store(both)
		serve(t, network, listAddress, func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, list.Load())
		})
		var leaving atomic.Bool
		serve(t, network, engineAddress, func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"running":2,"leaving":%t}`, leaving.Load())
		})
		directory := upstream.NewDirectory(upstream.DirectoryOptions{Client: newClient(t, network), HostList: listAddress})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- directory.Run(ctx) }()
		time.Sleep(leavingLimit)
		is.Equal(len(directory.Live("p")), 2)
		load, reported := directory.Load("a")
		is.True(reported)
		is.Equal(load.Running, 2)

		leaving.Store(true)
		time.Sleep(leavingLimit)
		is.Equal(len(directory.Live("p")), 1)

		list.Store(`{"hosts":null}`)
		network.CutBoth("10.0.0.2", "10.0.0.3")
		time.Sleep(10 * leavingLimit)
		is.Equal(len(directory.Live("p")), 1)
		network.Restore("10.0.0.2", "10.0.0.3")
		time.Sleep(leavingLimit)
		is.Equal(len(directory.Live("p")), 1)

		list.Store(fmt.Sprintf(`{"hosts":[`+entry+`,`+entry+`]}`, "a", engineAddress, "live", "b", "10.0.0.4:80", "leaving"))
		time.Sleep(leavingLimit)
		is.Equal(len(directory.Live("p")), 0)
		is.Equal(len(directory.Replicas("p")), 2)
		cancel()
		<-done
	})
}
