package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/route"
	"cowslipgw/internal/storelog"
)

// silentUntil returns an upstream that falls silent until release is closed, at the stage that the
// request names. It counts its requests, and sets sent before a stream ends.
func silentUntil(release <-chan struct{}, arrived *atomic.Int64, sent *atomic.Bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived.Add(1)
		stage := r.Header.Get("Stage")
		if stage == "head" {
			<-release
		}
		signed(w, r)
		for n := range 3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
			_ = http.NewResponseController(w).Flush()
			if n == 0 && stage == "answer" {
				<-release
			}
		}
		sent.Store(true)
	}
}

// configChanges are what a new configuration may change of a route that has requests in progress.
var configChanges = map[string]func(*tableSpec){
	"route removed": func(s *tableSpec) {
		s.routes = slices.DeleteFunc(s.routes, func(r *route.Route) bool { return r.Name != "resumable" })
	},
	"timeout lowered": func(s *tableSpec) { s.setTimeout(20 * time.Millisecond) },
	"timeout raised":  func(s *tableSpec) { s.setTimeout(time.Minute) },
	"service changed": func(s *tableSpec) {
		for _, r := range s.routes {
			r.Shares = []route.TrafficShare{{Service: "other", Weight: 1}}
		}
	},
	"key removed":     func(s *tableSpec) { s.accounts[0].Keys = []string{"new"} },
	"account removed": func(s *tableSpec) { s.accounts = s.accounts[1:] },
	"rate lowered":    func(s *tableSpec) { s.accounts[0].Rate, s.accounts[0].Burst = 0.1, 1 },
	"body limited":    func(s *tableSpec) { s.limits.BodyBytes = 1 },
}

func (s *tableSpec) setTimeout(timeout time.Duration) {
	for _, r := range s.routes {
		r.Timeout = timeout
	}
}

// TestRequestsSurviveConfigChange guards against requests in progress that end without a complete
// answer, or differently, because a new configuration takes effect while a replica is silent, the
// caller sends its body, or a turn begins or is stored.
func TestRequestsSurviveConfigChange(t *testing.T) {
	for name, change := range configChanges {
		for _, stage := range []string{"body", "begin", "head", "answer", "store"} {
			t.Run(name+", "+stage, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				release := make(chan struct{})
				var sent atomic.Bool
				var arrived, held, answered atomic.Int64
				gw := newTestGateway(t, time.Minute, silentUntil(release, &arrived, &sent))
				gw.log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
					if call == "append" && (stage == "begin" || stage == "store" && sent.Load()) {
						held.Add(1)
						<-release
					}
					return nil, false
				})
				var wait sync.WaitGroup
				for _, path := range []string{"/safe/1", "/unsafe/1", "/draft/1", "/chat/1"} {
					wait.Go(func() {
						c := gw.keep(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: "+path+"\r\nKey: k\r\nProgram: p\r\nStage: "+stage+"\r\nContent-Length: 2\r\n\r\nx")
						if stage == "body" {
							<-release
						}
						_, _ = io.WriteString(c, "x")
						got := c.answer(3 * time.Second)
						// The owner of the turns decides nothing while the store is silent.
						isUndecided := stage == "begin" && path == "/chat/1" && got == http.StatusServiceUnavailable
						if got != http.StatusOK && !isUndecided {
							t.Errorf("%s: status %d", path, got)
						}
						answered.Add(1)
					})
				}
				atStage := func() bool {
					switch stage {
					case "body":
						return gw.gateway.Active() == 4
					case "head", "answer":
						return arrived.Load() == 4
					}
					return held.Load() > 0 && answered.Load() == 3
				}
				for start := time.Now(); !atStage() && time.Since(start) < time.Second; {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
				spec := newTableSpec()
				spec.version = 2
				change(spec)
				gw.source.next.Store(spec.table())
				for start := time.Now(); gw.config.Table().Version < 2 && time.Since(start) < time.Second; {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(150 * time.Millisecond)
				close(release)
				wait.Wait()
				is.Equal(gw.config.Table().Version, int64(2))
			})
		}
	}
}
