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

// text returns a message of about the given number of tokens.
func text(tokens int) string { return strings.Repeat("word", tokens) }

// TestCachePrefix guards against cache hits for a prefix that differs, and against
// a second turn that pays for the first one again.
func TestCachePrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, engine.Settings{PrefillPerToken: time.Millisecond})
		timed := func(body string) (answer, time.Duration) {
			start := time.Now()
			a := w.chat(body, "X-Program: 5")
			return a, time.Since(start)
		}
		first, cold := timed(turns(`,"max_tokens":1`, text(2000)))
		is.Equal(first.Usage.Details.Cached, 0)
		is.True(cold >= 2*time.Second)
		reply := first.Choices[0].Message.Content
		second, warm := timed(turns(`,"max_tokens":1`, text(2000), reply, "next"))
		// The answer's message is cached as well; the new message costs its own tokens.
		is.True(second.Usage.Prompt-second.Usage.Details.Cached <= 3)
		is.True(warm < cold/10)
		other, _ := timed(turns(`,"max_tokens":1`, "x"+text(2000), reply, "next"))
		is.Equal(other.Usage.Details.Cached, 0)
	})
}

// TestCacheLimit guards against a cache that grows above its memory or evicts what
// was used last.
func TestCacheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, engine.Settings{CacheTokens: 3500})
		for program := 1; program <= 5; program++ {
			w.chat(turns(`,"max_tokens":1`, fmt.Sprint(program)+text(1000)), fmt.Sprintf("X-Program: %d", program))
			w.chat(turns(`,"max_tokens":1`, "1"+text(1000)), "X-Program: 1")
			load := w.engine.Load()
			is.True(load.CacheTokens <= load.CacheLimit)
		}
		is.Equal(w.engine.Load().Programs, []uint64{1, 4, 5})
	})
}

// TestRelease guards against memory that stays held after a release, and against a
// release that takes away what another program shares.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, engine.Settings{ChecksFence: true})
		w.chat(turns(`,"max_tokens":1`, text(100), "yes", "a"), "X-Program: 1", "X-Fence: 10")
		w.chat(turns(`,"max_tokens":1`, text(100), "yes", "b"), "X-Program: 2", "X-Fence: 3")
		release := engine.Order{Kind: engine.OrderRelease, Program: 1, Fence: 9}
		is.Equal(w.order(release), http.StatusConflict) // older than the call's number
		release.Fence = 11
		is.Equal(w.order(release), http.StatusOK)
		load := w.engine.Load()
		is.Equal(load.Programs, []uint64{2})
		is.True(load.CacheTokens >= 100)
		is.Equal(w.order(engine.Order{Kind: engine.OrderRelease, Program: 2, Fence: 3}), http.StatusOK)
		is.Equal(w.engine.Load().CacheTokens, int64(0))
		is.Equal(len(w.engine.Orders()), 2)
		refused := w.chat(turns(``, "late"), "X-Program: 1", "X-Fence: 10")
		is.Equal(refused.status, http.StatusConflict)
		is.Equal(refused.Error.Code, "stale_fence")
	})
}

// TestFenceIgnored guards against a stand-in that checks numbers although the host
// list says that it does not.
func TestFenceIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, engine.Settings{})
		is.Equal(w.order(engine.Order{Kind: engine.OrderRole, Role: "prefill", Fence: 9}), http.StatusOK)
		is.Equal(w.order(engine.Order{Kind: engine.OrderRole, Role: "decode", Fence: 1}), http.StatusOK)
		is.Equal(w.engine.Role(), "decode")
		is.Equal(w.order(engine.Order{Kind: "sing"}), http.StatusBadRequest)
	})
}

// TestCacheEvents guards against events that are early or without gaps.
func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, engine.Settings{CacheEventLag: time.Second, CacheEventGap: 3})
		w.chat(turns(`,"max_tokens":1`, "a", "b", "c", "d"), "X-Program: 1")
		numbers := func(after int) (all []uint64) {
			var answer struct{ Events []engine.CacheEvent }
			w.json(http.MethodGet, fmt.Sprintf("/v1/cache/events?after=%d", after), "", &answer)
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

// TestKVTransfer guards against a program that computes its history again after
// its cache was moved.
func TestKVTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, engine.Settings{})
		var document map[string]any
		is.Equal(w.json(http.MethodGet, "/v1/kv/1", "", &document), http.StatusNotFound)
		w.chat(turns(`,"max_tokens":1`, text(500)), "X-Program: 1")
		response, err := w.do(t.Context(), http.MethodGet, "/v1/kv/1", "")
		is.NoErr(err)
		defer response.Body.Close()
		other := newWorld(t, engine.Settings{})
		request, err := http.NewRequest(http.MethodPut, "http://"+address+"/v1/kv/1", response.Body)
		is.NoErr(err)
		imported, err := other.http.Do(request)
		is.NoErr(err)
		imported.Body.Close()
		is.Equal(imported.StatusCode, http.StatusNoContent)
		is.Equal(other.engine.Load().Programs, []uint64{1})
		is.True(other.chat(turns(`,"max_tokens":1`, text(500)), "X-Program: 1").Usage.Details.Cached >= 500)
	})
}

// TestLoadLag guards against a report that is fresher than its lag.
func TestLoadLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, engine.Settings{LoadLag: time.Second})
		report := func() (load standin.Load) {
			is.Equal(w.json(http.MethodGet, "/v1/load", "", &load), http.StatusOK)
			return load
		}
		response, err := w.do(t.Context(), http.MethodPost, "/v1/chat/completions", turns(`,"stream":true,"min_tokens":1000`, "hi"))
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

// TestLoadModel guards against a model that answers before its weights arrived or
// never becomes available.
func TestLoadModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const storeAddress = "10.0.0.9:80"
		w := newWorld(t, engine.Settings{Weights: storeAddress})
		store := weights.New(weights.Settings{BytesPerSecond: 1 << 20, Models: map[string]int64{"other": 10 << 20}})
		served, err := standin.Listen(t.Context(), w.network.Host("10.0.0.9"), storeAddress, store)
		is.NoErr(err)
		defer served.Close()
		body := strings.Replace(turns(``, "hi"), "default-llm", "other", 1)
		is.Equal(w.chat(body).status, http.StatusNotFound)
		order := engine.Order{Kind: engine.OrderLoad, Model: "other"}
		is.Equal(w.order(order), http.StatusAccepted)
		time.Sleep(5 * time.Second)
		is.Equal(w.chat(body).status, http.StatusNotFound)
		time.Sleep(6 * time.Second)
		is.Equal(w.chat(body).status, http.StatusOK)
		is.Equal(w.order(order), http.StatusOK)
		is.Equal(store.Downloads("other"), 1)
	})
}
