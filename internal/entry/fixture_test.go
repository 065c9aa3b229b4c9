package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cowslipgw/internal/entry"
	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/program"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

const (
	entryAddress = "10.0.0.2:80"
	firstReplica = "10.0.0.3:80"
	otherReplica = "10.0.0.4:80"
	callerKey    = "caller-key"
	callBody     = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	streamBody   = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	wholeAnswer  = `{"id":"c1","object":"chat.completion","created":1,"model":"m","choices":[{"index":0,` +
		`"message":{"role":"assistant","content":"hello"},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":3,"completion_tokens":1,"total_tokens":4}}`
)

// fixture is one entry host whose dependencies are fakes.
type fixture struct {
	t          testing.TB
	network    *transport.Memory
	owner      *fakeOwner
	rates      *fakeRates
	lists      *fakeLists
	freshness  *fakeFreshness
	hosts      *fakeHosts
	dispatcher *fakeDispatcher
	limits     settings.Limits
	server     *entry.Server
	client     *http.Client
	// upstreamCalls counts the requests that any replica received.
	upstreamCalls atomic.Int64
}

const plansText = `
[plan basic]
rate = 10
burst = 20
models = m
routes = bids, status
[model m]
pool = llm
context = 1000
[model other]
pool = llm
context = 1000
[route bids]
pool = app
path = /bids
methods = POST
[route status]
pool = app
path = /bids/status
repeat = yes
[route open]
pool = app
path = /open
open = yes
[route other]
pool = app
path = /other
`

// testLists returns lists with one account that has the key.
func testLists(key string) *lists.Lists {
	parsed, faults := lists.Parse("[account acme]\nplan = basic\nkeys = "+lists.HashKey(key).String()+"\n", plansText)
	if len(faults) > 0 {
		panic(faults[0].String())
	}
	return parsed
}

// newFixture returns an entry host that is not yet running; start runs it.
func newFixture(t testing.TB) *fixture {
	t.Helper()
	host := func(id, domain string, leaving bool) fleet.Host {
		return fleet.Host{ID: structs.HostID(id), Incarnation: 4, Region: "r", Domain: structs.Domain(domain), EntryAddress: id + ":80", Leaving: leaving}
	}
	return &fixture{
		t:          t,
		network:    transport.NewMemory(),
		owner:      &fakeOwner{claims: make(map[program.ClaimKey]*fakeClaim)},
		rates:      &fakeRates{left: 1000},
		lists:      &fakeLists{current: testLists(callerKey), changed: make(chan struct{})},
		freshness:  &fakeFreshness{},
		hosts:      &fakeHosts{view: fleet.View{Hosts: []fleet.Host{host("h1", "a", false), host("h2", "a", false), host("h3", "b", false), host("h4", "a", true)}}},
		dispatcher: &fakeDispatcher{addresses: []string{firstReplica, otherReplica}},
		limits:     settings.Default().Limits,
	}
}

// start runs the entry host until the test ends.
func (f *fixture) start() {
	f.t.Helper()
	tracer, err := trace.New(context.Background(), trace.Options{Host: "h1"})
	if err != nil {
		f.t.Fatal(err)
	}
	client := upstream.NewClient(upstream.ClientOptions{
		Network: f.network.Host("10.0.0.2"), Credential: "host-credential",
		FirstByteTimeout: 10 * time.Second, AnswerTimeout: time.Minute, StreamIdleTimeout: 10 * time.Second, AnswerLimit: 1 << 20,
	})
	f.server = entry.New(entry.Options{
		Programs: f.owner, Claims: f.owner, Rates: f.rates, Lists: f.lists, Freshness: f.freshness, Hosts: f.hosts,
		Dispatcher: f.dispatcher, Upstream: client, Logger: event.Discard(), Tracer: tracer, Limits: f.limits,
	})
	listener, err := f.network.Host("10.0.0.2").Listen(context.Background(), entryAddress)
	if err != nil {
		f.t.Fatal(err)
	}
	go f.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	go f.server.Run(ctx)
	tr := transport.HTTPTransport(f.network.Host("10.0.0.9"))
	f.client = &http.Client{Transport: tr}
	f.t.Cleanup(func() {
		tr.CloseIdleConnections()
		synctest.Wait()
		if err := f.server.Shutdown(context.Background()); err != nil {
			f.t.Error(err)
		}
		cancel()
		client.Close()
	})
}

// replica serves a handler at an upstream address. It reads each request body first,
// since net/http detects a closed connection only after that.
func (f *fixture) replica(address string, handler http.HandlerFunc) {
	f.t.Helper()
	listener, err := f.network.Host(strings.TrimSuffix(address, ":80")).Listen(context.Background(), address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.upstreamCalls.Add(1)
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		handler(w, r)
	})}
	go server.Serve(listener)
	f.t.Cleanup(func() { server.Close() })
}

// answer responds to a chat completion, as a stream if requested.
func answer(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !strings.Contains(string(body), `"stream":true`) {
		io.WriteString(w, wholeAnswer)
		return
	}
	streamWords(w, "hel", "lo")
	endStream(w)
}

// streamWords sends one event for each word.
func streamWords(w http.ResponseWriter, words ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, word := range words {
		fmt.Fprintf(w, "data: {\"id\":\"c1\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	w.(http.Flusher).Flush()
}

// endStream sends the finish reason, the usage and the final event.
func endStream(w http.ResponseWriter) {
	io.WriteString(w, "data: {\"id\":\"c1\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
		"data: {\"id\":\"c1\",\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2,\"total_tokens\":5}}\n\n"+
		"data: [DONE]\n\n")
}

// result is a response as received by a caller.
type result struct {
	status int
	header http.Header
	body   string
	close  bool
	err    error
}

// problem decodes a problem document.
func (r result) problem() (code string, run structs.Run) {
	var document struct {
		Run   structs.Run
		Error struct{ Code string }
	}
	_ = json.Unmarshal([]byte(r.body), &document)
	return document.Error.Code, document.Run
}

// do sends a request with the caller's key. headers holds alternating names and values.
func (f *fixture) do(ctx context.Context, method, path, body string, headers ...string) result {
	f.t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entryAddress+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			request.Header.Del(headers[i])
		}
	}
	response, err := f.client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(read), close: response.Close, err: err}
}

// chat sends a chat completion.
func (f *fixture) chat(body string, headers ...string) result {
	f.t.Helper()
	return f.do(context.Background(), http.MethodPost, "/v1/chat/completions", body, headers...)
}

// raw sends text on a new connection, calls then if it is not nil, and returns the
// response.
func (f *fixture) raw(text string, then func(net.Conn)) string {
	f.t.Helper()
	conn, err := f.network.Host("10.0.0.9").Dial(context.Background(), entryAddress)
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, text)
	if then != nil {
		then(conn)
	}
	answered, _ := io.ReadAll(conn)
	return string(answered)
}
