package main

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// devStopTimeout is the maximum time from Ctrl-C to exit when no request is active.
const devStopTimeout = 10 * time.Second

// TestDev guards against a dev system that does not serve requests or that is slow to
// stop.
func TestDev(t *testing.T) {
	is := is.New(t)
	d, err := startDevSystem(context.Background(), "127.0.0.1:0", event.Discard())
	is.NoErr(err)
	var help bytes.Buffer
	d.printHelp(&help)
	is.True(strings.HasPrefix(help.String(), "ready entry=http://127.0.0.1:"))
	request, err := http.NewRequest(http.MethodPost, "http://"+d.hosts[0].EntryAddress()+"/v1/chat/completions",
		strings.NewReader(`{"model":"assistant","messages":[{"role":"user","content":"hello"}]}`))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+d.key)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
	start := time.Now()
	is.NoErr(d.stop())
	is.True(time.Since(start) < devStopTimeout)
}
