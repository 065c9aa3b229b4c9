package launch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin/launch"
	"cowslipgw/internal/transport"
)

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "standin.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestReadFaults guards against configuration errors that are silently ignored,
// and against error messages that do not state the location and what is allowed.
func TestReadFaults(t *testing.T) {
	const log = "[log]\nlisten = 127.0.0.1:0\n"
	cases := []struct{ text, want string }{
		{log + "retian_for = 1s", "section [log]: key retian_for: unknown key; allowed: listen, appends_per_second, retain_for"},
		{log + "retain_for = soon", `section [log]: key retain_for: value "soon": must be a duration`},
		{log + "retain_for = 1s\nretain_for = 1s", "section [log]: key retain_for: the key is given more than once"},
		{log + "appends_per_second = NaN", "must be a number above 0"},
		{"[log]\nlisten = 0.0.0.0:80", "section [log]: key listen: value \"0.0.0.0:80\": must be a loopback"},
		{"[log]\n", "section [log]: key listen is missing"},
		{"[engine]\nlisten = 127.0.0.1:0", `unknown section [engine]; allowed: [log], [hosts], [weights], [engine "NAME"]`},
		{"[app \"a\"]\nlisten = 127.0.0.1:0\nreplicas = 0", `section [app "a"]: key replicas: value "0": must be a whole number from 1`},
		{"[engine \"a\"]\nlisten = 127.0.0.1:0\nchecks_fence = yes", "must be true or false"},
		{"listen = 127.0.0.1:0", "before the first section"},
		{"", "no service is configured"},
	}
	for _, c := range cases {
		is := is.New(t)
		file := writeConfig(t, c.text)
		_, err := launch.Read(file)
		is.True(err != nil)
		is.True(strings.HasPrefix(err.Error(), file)) // the error names the file
		if !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %q does not contain %q", err, c.want)
		}
	}
}

// syncBuffer is a buffer that can be read while the process writes to it.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *syncBuffer) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *syncBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestRun guards against services that do not start, a host list that does not
// contain them, and a shutdown that aborts a running request.
func TestRun(t *testing.T) {
	file := writeConfig(t, `
[log]
listen = 127.0.0.1:7000
[hosts]
listen = 127.0.0.1:7001
[weights]
listen = 127.0.0.1:7002
models = a, b:1000
[engine "llm"]
listen = 127.0.0.1:7100
replicas = 3
failure_domains = d1, d2
checks_fence = true
[app "auction"]
listen = 127.0.0.1:7200
pool = auction-app
work = 3s
`)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		config, err := launch.Read(file)
		is.NoErr(err)
		network := transport.NewMemory().Host("127.0.0.1")
		ctx, cancel := context.WithCancel(t.Context())
		var ready syncBuffer
		var done sync.WaitGroup
		done.Go(func() {
			if err := launch.Run(ctx, network, config, &ready); err != nil {
				t.Error(err)
			}
		})
		synctest.Wait()
		for _, line := range []string{"ready log 127.0.0.1:7000", "ready engine llm-3 127.0.0.1:7102", "ready app auction-1 127.0.0.1:7200"} {
			is.True(strings.Contains(ready.String(), line+"\n"))
		}
		tr := transport.HTTPTransport(network)
		defer tr.CloseIdleConnections()
		client := &http.Client{Transport: tr}
		get := func(url string) string {
			response, err := client.Get(url)
			if err != nil {
				return err.Error()
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				return err.Error()
			}
			return fmt.Sprint(response.StatusCode, " ", string(body))
		}
		list := get("http://127.0.0.1:7001/hosts")
		is.True(strings.Contains(list, `{"pool":"llm","id":"llm-2","address":"127.0.0.1:7101","failure_domain":"d2","state":"live","kind":"engine","checks_fence":true}`))
		is.True(strings.Contains(list, `{"pool":"auction-app","id":"auction-1"`))

		var slow string
		done.Go(func() { slow = get("http://127.0.0.1:7200/bids") })
		time.Sleep(time.Second)
		cancel()
		done.Wait()
		is.True(strings.HasPrefix(slow, "200 ")) // shutdown waits for running requests
	})
}
