package upstream_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

// TestEngineOrders guards against accepted stale fencing tokens, unmarked gaps in cache
// events, and cache that is lost in a transfer between two engines.
func TestEngineOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const otherEngine = "10.0.0.4:80"
		network := transport.NewMemory()
		first := engine.New(engine.Settings{Models: []string{"m"}, ChecksFence: true, CacheEventGap: 3, Network: network.Host("10.0.0.1")})
		defer first.Close()
		second := engine.New(engine.Settings{Models: []string{"m"}, Network: network.Host("10.0.0.4")})
		defer second.Close()
		serveHandler(t, network, engineAddress, first)
		serveHandler(t, network, otherEngine, second)
		client := newClient(t, network)
		ctx := context.Background()
		body := []byte(`{"model":"m","max_tokens":8,"messages":[{"role":"system","content":"be brief"},{"role":"user","content":"hello there"},{"role":"user","content":"and more"}]}`)
		call := upstream.CallHeader{Program: 7, Fence: 20, Call: "c1"}
		answer, err := client.Chat(ctx, engineAddress, call, body)
		is.NoErr(err)
		is.True(answer.Usage.CompletionTokens > 0)

		call.Fence = 19
		_, err = client.Chat(ctx, engineAddress, call, body)
		is.True(errors.Is(err, upstream.ErrStaleFence))
		is.True(errors.Is(client.Order(ctx, engineAddress, upstream.Order{Kind: upstream.OrderRelease, Program: 7, Fence: 19}), upstream.ErrStaleFence))

		events, err := client.CacheEvents(ctx, engineAddress, 0)
		is.NoErr(err)
		is.True(len(events.Events) > 0)
		is.True(events.Gap)
		last := events.Events[len(events.Events)-1].Number
		events, err = client.CacheEvents(ctx, engineAddress, last)
		is.NoErr(err)
		is.Equal(len(events.Events), 0)

		exported, err := client.ExportKV(ctx, engineAddress, 7)
		is.NoErr(err)
		defer exported.Close()
		is.NoErr(client.ImportKV(ctx, otherEngine, 7, 20, exported))
		copied, err := client.ExportKV(ctx, otherEngine, 7)
		is.NoErr(err)
		defer copied.Close()
		document, err := io.ReadAll(copied)
		is.NoErr(err)
		is.True(len(document) > 0)

		is.NoErr(client.Order(ctx, engineAddress, upstream.Order{Kind: upstream.OrderRelease, Program: 7, Fence: 21}))
		_, err = client.ExportKV(ctx, engineAddress, 7)
		var status *upstream.StatusError
		is.True(errors.As(err, &status))
		is.Equal(status.Status, 404)
	})
}
