package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
)

// response is a response as the caller sees it. Complete is set if the body ended
// properly.
type response struct {
	status   int
	body     string
	complete bool
	header   http.Header
}

// call sends a request. Fields are alternating header names and values.
func (gw *testGateway) call(t *testing.T, method, path, body string, fields ...string) response {
	t.Helper()
	r, err := http.NewRequest(method, gw.entry.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n < len(fields); n += 2 {
		r.Header.Set(fields[n], fields[n+1])
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return response{status: answer.StatusCode, body: string(content), complete: err == nil, header: answer.Header}
}

// signed sets the request ID and the signature on an answer.
func signed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "1")
}

// echoing returns an upstream that counts its runs and answers with the account, the key
// that it received, and the body.
func echoing(runs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		runs.Add(1)
		signed(w, r)
		_, _ = io.WriteString(w, r.Header.Get("Account")+" "+r.Header.Get("Key")+string(body))
	}
}

// truncating returns an upstream that counts its runs and truncates every answer.
func truncating(runs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		signed(w, r)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}
}

// refusing is an upstream that reports that it did not execute the request.
func refusing(w http.ResponseWriter, r *http.Request) {
	signed(w, r)
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestAuthorization guards against requests that run without a key, with an unknown key or
// for another account, and against the key reaching an upstream.
func TestAuthorization(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "a").status, http.StatusUnauthorized)
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "a", "Key", "other").status, http.StatusUnauthorized)
	is.Equal(gw.call(t, "GET", "/none/1", "", "Id", "a", "Key", "k").status, http.StatusNotFound)
	is.Equal(runs.Load(), int64(0))
	is.Equal(gw.call(t, "POST", "/safe/1", "body", "Id", "a", "Key", "k", "Account", "forged").body, "acme body")
	is.Equal(gw.call(t, "POST", "/safe/1", strings.Repeat("x", 1001), "Id", "a", "Key", "k").status, http.StatusRequestEntityTooLarge)
}

// TestUnsafeRunsOnce guards against a retry of a non-idempotent request after it may have
// run, and against a response that claims that it has not.
func TestUnsafeRunsOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, truncating(&runs), truncating(&runs), truncating(&runs))
	is.Equal(gw.call(t, "POST", "/unsafe/1", "x", "Id", "a", "Key", "k").status, http.StatusBadGateway)
	is.Equal(runs.Load(), int64(1))
}

// TestUnsafeAfterRefusal guards against failing a non-idempotent request although the
// replica reported that it had not run it and another replica could.
func TestUnsafeAfterRefusal(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, refusing, refusing, echoing(&runs))
	is.Equal(gw.call(t, "POST", "/unsafe/1", "x", "Id", "a", "Key", "k").status, http.StatusOK)
	is.Equal(runs.Load(), int64(1))
	none := newTestGateway(t, 0, refusing, refusing)
	refused := none.call(t, "POST", "/unsafe/1", "x", "Id", "b", "Key", "k")
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.header.Get("Signed"), "") // the gateway sent the response
	is.True(refused.header.Get("Retry-After") != "")
}

// TestSafeIsRepeated guards against failing an idempotent request while another replica
// could serve it, and against more attempts than the route allows.
func TestSafeIsRepeated(t *testing.T) {
	is := is.New(t)
	var broken, healthy atomic.Int64
	gw := newTestGateway(t, 0, truncating(&broken), truncating(&broken), echoing(&healthy))
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "a", "Key", "k").status, http.StatusOK)
	gw = newTestGateway(t, 0, truncating(&broken), truncating(&broken), truncating(&broken), truncating(&broken))
	broken.Store(0)
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "b", "Key", "k").status, http.StatusBadGateway)
	is.Equal(broken.Load(), int64(3))
}

// TestUnresponsiveReplica guards against an idempotent request that waits for an unresponsive
// replica until its deadline.
func TestUnresponsiveReplica(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	unresponsive := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body is read
		<-r.Context().Done()
	}
	gw := newTestGateway(t, 0, unresponsive, echoing(&runs))
	for range 6 {
		start := time.Now()
		is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "a", "Key", "k").status, http.StatusOK)
		is.True(time.Since(start) < time.Second)
	}
	gw = newTestGateway(t, 0, unresponsive)
	start := time.Now()
	is.Equal(gw.call(t, "POST", "/unsafe/1", "x", "Id", "b", "Key", "k", "Patience", "300").status, http.StatusGatewayTimeout)
	is.True(time.Since(start) < 600*time.Millisecond)
}

// TestStaleKeysAreRefused guards against accepting a key although the host may have missed
// its revocation.
func TestStaleKeysAreRefused(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 700*time.Millisecond, echoing(&runs))
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "a", "Key", "k").status, http.StatusOK)
	gw.source.down.Store(true)
	time.Sleep(time.Second)
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "b", "Key", "k").status, http.StatusServiceUnavailable)
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "c", "Key", "unknown").status, http.StatusServiceUnavailable)
	is.Equal(runs.Load(), int64(1))
	gw.source.down.Store(false)
	time.Sleep(300 * time.Millisecond)
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "d", "Key", "k").status, http.StatusOK)
}

// engine returns an upstream that records each body in seen and streams two events.
func engine(seen *[]string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		*seen = append(*seen, string(body))
		signed(w, r)
		for _, event := range []string{"one", "two"} {
			_, _ = io.WriteString(w, "id: 1\ndata: "+event+"\n\n")
			w.(http.Flusher).Flush()
		}
	}
}

// TestTurnsAreChained guards against a turn whose history reaches the engine incompletely,
// or that another account can continue.
func TestTurnsAreChained(t *testing.T) {
	is := is.New(t)
	var seen []string
	gw := newTestGateway(t, 0, engine(&seen))
	is.Equal(gw.call(t, "POST", "/chat/1", "in1;", "Id", "t1", "Key", "k", "Program", "p").status, http.StatusOK)
	is.Equal(gw.call(t, "POST", "/chat/1", "in2;", "Id", "t2", "Key", "k", "Program", "p", "Previous", "t1").status, http.StatusOK)
	is.Equal(seen, []string{"in1;", "in1;one\ntwo\nin2;"})
	// Another program may continue the turn; its history is copied to that program.
	is.Equal(gw.call(t, "POST", "/chat/1", "in3;", "Id", "t3", "Key", "k", "Program", "q", "Previous", "t1").status, http.StatusOK)
	is.Equal(gw.call(t, "POST", "/chat/1", "in4;", "Id", "t4", "Key", "k", "Program", "q", "Previous", "t3").status, http.StatusOK)
	is.Equal(seen[3], "in1;one\ntwo\nin3;one\ntwo\nin4;")
	is.Equal(gw.call(t, "POST", "/chat/1", "x", "Id", "t5", "Key", "k", "Program", "q", "Previous", "none").status, http.StatusNotFound)
	is.Equal(len(seen), 4)
}

// TestUnstoredTurnDoesNotLookComplete guards against an answer that looks complete although its
// turn is not stored and would be lost with the host.
func TestUnstoredTurnDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	var seen []string
	gw := newTestGateway(t, 0, engine(&seen))
	is.Equal(gw.call(t, "POST", "/chat/1", "in1;", "Id", "t1", "Key", "k", "Program", "p").status, http.StatusOK)
	gw.log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
		if call == "append" {
			return storelog.ErrUnavailable, false
		}
		return nil, false
	})
	cut := gw.call(t, "POST", "/chat/1", "in2;", "Id", "t2", "Key", "k", "Program", "p", "Previous", "t1", "Patience", "400")
	is.True(!cut.complete)
	gw.log.SetFault(nil)
	is.Equal(gw.call(t, "POST", "/chat/1", "in3;", "Id", "t3", "Key", "k", "Program", "p", "Previous", "t1").status, http.StatusOK)
}

// TestUnrunRequestsAreRefunded guards against accounts that are refused within their rate
// because of requests that were answered without reaching a replica.
func TestUnrunRequestsAreRefunded(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	time.Sleep(500 * time.Millisecond) // a bucket without history has refilled to one request by now
	for n := range 20 {                // more than the rate and burst of one window
		id := "t" + strconv.Itoa(n)
		is.Equal(gw.call(t, "POST", "/chat/1", "x", "Id", id, "Key", "ks", "Program", "p", "Previous", "none").status, http.StatusNotFound)
	}
	is.Equal(gw.call(t, "GET", "/safe/1", "", "Id", "a", "Key", "ks").status, http.StatusOK)
}
