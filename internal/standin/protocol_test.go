package standin_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/hostlist"
	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

const address = "10.0.0.1:80"

// TestWireForms guards against stand-ins whose JSON documents diverge from the
// ones that the upstream package reads.
func TestWireForms(t *testing.T) {
	is := is.New(t)
	load := standin.Load{
		Running: 1, Queued: 2, Slots: 3, CacheTokens: 4, CacheLimit: 5,
		Programs: []uint64{1 << 63}, Models: []string{"m"}, Leaving: true, At: time.Unix(9, 0).UTC(),
	}
	checkRoundTrip(is, load, &upstream.Load{})
	checkRoundTrip(is, hostlist.Replica{
		Pool: "p", ID: "i", Address: "a", Domain: "d", State: hostlist.Live, Kind: "engine", ChecksFence: true,
	}, &upstream.Replica{})
}

// checkRoundTrip checks that decoding the JSON of value into decoded and encoding
// it again yields the same document, without unknown fields.
func checkRoundTrip(is *is.I, value, decoded any) {
	is.Helper()
	document, err := json.Marshal(value)
	is.NoErr(err)
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	is.NoErr(decoder.Decode(decoded))
	reencoded, err := json.Marshal(decoded)
	is.NoErr(err)
	is.Equal(string(reencoded), string(document))
}

// newClient serves a stand-in at 10.0.0.1:80 and returns a client on the same
// network.
func newClient(t *testing.T, handler http.Handler) *upstream.Client {
	t.Helper()
	network := transport.NewMemory()
	server, err := standin.Listen(t.Context(), network.Host("10.0.0.1"), address, handler)
	if err != nil {
		t.Fatal(err)
	}
	client := upstream.NewClient(upstream.ClientOptions{
		Network: network.Host("10.0.0.2"), Credential: "c", FirstByteTimeout: 5 * time.Second, AnswerTimeout: 20 * time.Second,
		StreamIdleTimeout: 3 * time.Second, AnswerLimit: 1 << 20,
	})
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return client
}

// TestEngineProtocol guards against a stand-in engine and an upstream client that
// implement incompatible protocols although each passes its own tests.
func TestEngineProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		replica := engine.New(engine.Settings{ChecksFence: true, ResumeWindow: time.Second})
		defer replica.Close()
		client := newClient(t, replica)
		call := upstream.CallHeader{Program: 1 << 63, Fence: 8, Call: "h1-5-1"}
		body := []byte(`{"model":"default-llm","messages":[{"role":"user","content":"hola"}]}`)
		complete, err := client.Chat(t.Context(), address, call, body)
		is.NoErr(err)
		is.True(complete.Usage.CompletionTokens > 0)

		streamBody := []byte(`{"model":"default-llm","messages":[{"role":"user","content":"hola"}],"stream":true,"stream_options":{"include_usage":true}}`)
		stream, err := client.ChatStream(t.Context(), address, call, streamBody)
		is.NoErr(err)
		for err == nil {
			_, err = stream.Next()
		}
		is.Equal(err, io.EOF)
		streamed, err := stream.Answer()
		is.NoErr(err)
		stream.Close()
		is.Equal(string(streamed.Message.Content), string(complete.Message.Content))
		is.True(streamed.Usage.CachedTokens > 0)

		events, err := client.CacheEvents(t.Context(), address, 0)
		is.NoErr(err)
		is.Equal(len(events.Events), 2)
		is.Equal(events.Events[0].Program, call.Program)

		exported, err := client.ExportKV(t.Context(), address, call.Program)
		is.NoErr(err)
		is.NoErr(client.ImportKV(t.Context(), address, 2, 8, exported))
		exported.Close()
		release := upstream.Order{Kind: upstream.OrderRelease, Fence: 7, Program: call.Program}
		is.True(errors.Is(client.Order(t.Context(), address, release), upstream.ErrStaleFence))
		release.Fence = 8
		is.NoErr(client.Order(t.Context(), address, release))
		is.Equal(replica.Load().Programs, []uint64{2})
		load := upstream.Order{Kind: upstream.OrderLoad, Fence: 1, Model: "m", Adapter: "a", Version: "2"}
		is.NoErr(client.Order(t.Context(), address, load))
		is.Equal(replica.Load().Models, []string{"default-llm", "m@2+a"})

		stale := upstream.CallHeader{Program: call.Program, Fence: 7, Call: "late"}
		_, err = client.Chat(t.Context(), address, stale, body)
		is.True(errors.Is(err, upstream.ErrStaleFence))
		replica.SetFaults(engine.Faults{ForeignCall: true, Times: 1})
		_, err = client.Chat(t.Context(), address, call, body)
		is.True(errors.Is(err, upstream.ErrAnswerMismatch))
	})
}

// TestAppProtocol guards against a client that resends a request after the app
// has executed it and closed the connection.
func TestAppProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := app.New(app.Settings{})
		defer service.Close()
		client := newClient(t, service)
		send := func(key string) error {
			response, err := client.App(t.Context(), address, upstream.AppRequest{
				Method: http.MethodPost, Path: "/refunds", Call: upstream.CallHeader{Call: "c", IdempotencyKey: key},
			})
			if err != nil {
				return err
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			return err
		}
		is.NoErr(send("a")) // leaves an idle connection that the next request reuses
		service.SetFaults(app.Faults{DropAfterRun: true, Times: 1})
		is.True(errors.Is(send("b"), upstream.ErrIncompleteAnswer))
		is.Equal(service.Runs(), []app.RunCount{
			{Key: "a", Method: "POST", Path: "/refunds", Runs: 1}, {Key: "b", Method: "POST", Path: "/refunds", Runs: 1},
		})
	})
}
