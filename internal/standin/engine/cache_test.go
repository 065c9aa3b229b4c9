package engine_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/standin/weights"
)

// promptText returns a message text of about the given number of tokens.
func promptText(tokens int) string { return strings.Repeat("word", tokens) }

// TestCachePrefix guards against cache hits for a different prefix, and against a
// second turn that computes the prefill of the first turn again.
func TestCachePrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{PrefillPerToken: time.Millisecond})
		timed := func(body string) (chatResponse, time.Duration) {
			start := time.Now()
			a := h.chat(body, "X-Program: 5")
			return a, time.Since(start)
		}
		first, cold := timed(chatBody(`,"max_tokens":1`, promptText(2000)))
		is.Equal(first.Usage.Details.Cached, 0)
		is.True(cold >= 2*time.Second)
		reply := first.Choices[0].Message.Content
		second, warm := timed(chatBody(`,"max_tokens":1`, promptText(2000), reply, "next"))
		// The reply is cached as well, so only the new message needs prefill.
		is.True(second.Usage.Prompt-second.Usage.Details.Cached <= 3)
		is.True(warm < cold/10)
		other, _ := timed(chatBody(`,"max_tokens":1`, "x"+promptText(2000), reply, "next"))
		is.Equal(other.Usage.Details.Cached, 0)
	})
}

// TestCacheLimit guards against a cache that exceeds its limit or evicts recently
// used entries.
func TestCacheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{CacheTokens: 3500})
		for program := 1; program <= 5; program++ {
			h.chat(chatBody(`,"max_tokens":1`, fmt.Sprint(program)+promptText(1000)), fmt.Sprintf("X-Program: %d", program))
			h.chat(chatBody(`,"max_tokens":1`, "1"+promptText(1000)), "X-Program: 1")
			load := h.engine.Load()
			is.True(load.CacheTokens <= load.CacheLimit)
		}
		is.Equal(h.engine.Load().Programs, []uint64{1, 4, 5})
	})
}

// TestRelease guards against cache memory that is not freed by a release, and
// against a release that removes entries shared with another program.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{ChecksFence: true})
		h.chat(chatBody(`,"max_tokens":1`, promptText(100), "yes", "a"), "X-Program: 1", "X-Fence: 10")
		h.chat(chatBody(`,"max_tokens":1`, promptText(100), "yes", "b"), "X-Program: 2", "X-Fence: 3")
		release := engine.Order{Kind: engine.OrderRelease, Program: 1, Fence: 9}
		is.Equal(h.order(release), http.StatusConflict) // older than the call's fencing token
		release.Fence = 11
		is.Equal(h.order(release), http.StatusOK)
		load := h.engine.Load()
		is.Equal(load.Programs, []uint64{2})
		is.True(load.CacheTokens >= 100)
		is.Equal(h.order(engine.Order{Kind: engine.OrderRelease, Program: 2, Fence: 3}), http.StatusOK)
		is.Equal(h.engine.Load().CacheTokens, int64(0))
		is.Equal(len(h.engine.Orders()), 2)
		refused := h.chat(chatBody(``, "late"), "X-Program: 1", "X-Fence: 10")
		is.Equal(refused.status, http.StatusConflict)
		is.Equal(refused.Error.Code, "stale_fence")
	})
}

// TestFenceIgnored guards against an engine that checks fencing tokens although
// ChecksFence, which the host list announces, is not set.
func TestFenceIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{})
		is.Equal(h.order(engine.Order{Kind: engine.OrderRole, Role: "prefill", Fence: 9}), http.StatusOK)
		is.Equal(h.order(engine.Order{Kind: engine.OrderRole, Role: "decode", Fence: 1}), http.StatusOK)
		is.Equal(h.engine.Role(), "decode")
		is.Equal(h.order(engine.Order{Kind: "unknown"}), http.StatusBadRequest)
	})
}

// TestCacheEvents guards against events that are reported before the lag has
// passed, and against a CacheEventGap setting without effect.
func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{CacheEventLag: time.Second, CacheEventGap: 3})
		h.chat(chatBody(`,"max_tokens":1`, "a", "b", "c", "d"), "X-Program: 1")
		numbers := func(after int) (all []uint64) {
			var answer struct{ Events []engine.CacheEvent }
			h.json(http.MethodGet, fmt.Sprintf("/v1/cache/events?after=%d", after), "", &answer)
			for _, e := range answer.Events {
				all = append(all, e.Number)
			}
			return all
		}
		is.Equal(len(numbers(0)), 0)
		time.Sleep(time.Second)
		is.Equal(numbers(0), []uint64{1, 2, 4, 5})
		is.Equal(numbers(4), []uint64{5})
	})
}

// TestKVTransfer guards against a program whose history is computed again after
// its cache was transferred.
func TestKVTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{})
		var document map[string]any
		is.Equal(h.json(http.MethodGet, "/v1/kv/1", "", &document), http.StatusNotFound)
		h.chat(chatBody(`,"max_tokens":1`, promptText(500)), "X-Program: 1")
		response, err := h.do(t.Context(), http.MethodGet, "/v1/kv/1", "")
		is.NoErr(err)
		defer response.Body.Close()
		other := newHarness(t, engine.Settings{})
		request, err := http.NewRequest(http.MethodPut, "http://"+address+"/v1/kv/1", response.Body)
		is.NoErr(err)
		imported, err := other.http.Do(request)
		is.NoErr(err)
		imported.Body.Close()
		is.Equal(imported.StatusCode, http.StatusNoContent)
		is.Equal(other.engine.Load().Programs, []uint64{1})
		is.True(other.chat(chatBody(`,"max_tokens":1`, promptText(500)), "X-Program: 1").Usage.Details.Cached >= 500)
	})
}

// TestLoadLag guards against a load report that is newer than its lag allows.
func TestLoadLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{LoadLag: time.Second})
		report := func() (load standin.Load) {
			is.Equal(h.json(http.MethodGet, "/v1/load", "", &load), http.StatusOK)
			return load
		}
		response, err := h.do(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(`,"stream":true,"min_tokens":1000`, "hi"))
		is.NoErr(err)
		defer response.Body.Close()
		time.Sleep(500 * time.Millisecond)
		is.Equal(report().Running, 0)
		time.Sleep(700 * time.Millisecond)
		load := report()
		is.Equal(load.Running, 1)
		is.True(time.Since(load.At) >= time.Second)
	})
}

// TestLoadModel guards against a model that is served before its weights have
// been downloaded or that never becomes available.
func TestLoadModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const storeAddress = "10.0.0.9:80"
		h := newHarness(t, engine.Settings{Weights: storeAddress})
		store := weights.New(weights.Settings{BytesPerSecond: 1 << 20, Models: map[string]int64{"other": 10 << 20}})
		server, err := standin.Listen(t.Context(), h.network.Host("10.0.0.9"), storeAddress, store)
		is.NoErr(err)
		defer server.Close()
		body := strings.Replace(chatBody(``, "hi"), "default-llm", "other", 1)
		is.Equal(h.chat(body).status, http.StatusNotFound)
		order := engine.Order{Kind: engine.OrderLoad, Model: "other"}
		is.Equal(h.order(order), http.StatusAccepted)
		time.Sleep(5 * time.Second)
		is.Equal(h.chat(body).status, http.StatusNotFound)
		time.Sleep(6 * time.Second)
		is.Equal(h.chat(body).status, http.StatusOK)
		is.Equal(h.order(order), http.StatusOK)
		is.Equal(store.Downloads("other"), 1)
	})
}
