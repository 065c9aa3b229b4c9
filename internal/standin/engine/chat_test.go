package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cowslipgw/internal/standin/engine"
)

// TestChatClient guards against responses that a standard client cannot parse,
// whether streamed or not, and against token counts and limits that differ between
// the two modes.
func TestChatClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{ResumeWindow: time.Second})
		client := openai.NewClient(option.WithBaseURL("http://"+address+"/v1/"), option.WithHTTPClient(h.http),
			option.WithAPIKey("k"), option.WithMaxRetries(0), option.WithHeader("X-Call-Id", "c1"))
		params := openai.ChatCompletionNewParams{
			Model:         "default-llm",
			Messages:      []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage("hola ¿qué tal?")},
			StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		}
		complete, err := client.Chat.Completions.New(t.Context(), params)
		is.NoErr(err)
		const want = "I see 2 messages. The last user message is: hola ¿qué tal?"
		is.Equal(complete.Choices[0].Message.Content, want)
		is.Equal(complete.Choices[0].FinishReason, "stop")
		is.True(complete.Usage.CompletionTokens >= int64(len(want))/4-1)
		is.True(complete.Usage.CompletionTokens <= int64(len(want))/4+1)

		streamed := client.Chat.Completions.NewStreaming(t.Context(), params)
		var all openai.ChatCompletionAccumulator
		for streamed.Next() {
			is.True(all.AddChunk(streamed.Current()))
		}
		is.NoErr(streamed.Err())
		is.Equal(all.Choices[0].Message.Content, want)
		is.Equal(all.Usage.CompletionTokens, complete.Usage.CompletionTokens)
		is.Equal(all.Usage.PromptTokens, complete.Usage.PromptTokens)
		is.True(all.Usage.PromptTokensDetails.CachedTokens > 0)

		params.MaxTokens = openai.Int(3)
		short, err := client.Chat.Completions.New(t.Context(), params)
		is.NoErr(err)
		is.Equal(short.Usage.CompletionTokens, int64(3))
		is.Equal(short.Choices[0].FinishReason, "length")
		is.Equal(h.engine.Requests()[0].Header.Get("Authorization"), "Bearer k")
	})
}

// TestBatching guards against an engine that runs more calls than it has slots,
// that runs calls sequentially, or that ignores priorities.
func TestBatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{Slots: 2, StepBase: 10 * time.Millisecond, StepPerCall: time.Millisecond})
		var mu sync.Mutex
		var order []string
		var calls sync.WaitGroup
		start := time.Now()
		begin := func(name string, priority int) {
			calls.Go(func() {
				h.chat(chatBody(fmt.Sprintf(`,"priority":%d,"min_tokens":100,"max_tokens":100`, priority), name))
				mu.Lock()
				defer mu.Unlock()
				order = append(order, name)
			})
			synctest.Wait()
		}
		begin("a", 0)
		time.Sleep(time.Millisecond)
		begin("b", 0)
		time.Sleep(time.Millisecond)
		begin("late", 9)
		time.Sleep(time.Millisecond)
		begin("soon", 1)
		time.Sleep(50 * time.Millisecond)
		load := h.engine.Load()
		is.Equal(load.Running, 2)
		is.Equal(load.Queued, 2)
		calls.Wait()
		is.Equal(order, []string{"a", "b", "soon", "late"})
		// Two rounds of 100 steps of 11 to 12 ms each, plus a few prefill steps.
		elapsed := time.Since(start)
		is.True(elapsed >= 2*100*11*time.Millisecond)
		is.True(elapsed <= 2*106*12*time.Millisecond)
		is.Equal(h.engine.DecodedTokens(), int64(400))
	})
}

// TestDisconnectCancels guards against calls that occupy a slot after their client
// has disconnected.
func TestDisconnectCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{})
		for _, extra := range []string{``, `,"stream":true`} {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			response, err := h.do(ctx, http.MethodPost, "/v1/chat/completions", chatBody(extra+`,"min_tokens":1000`, "hi"))
			if err == nil {
				_, err = readStream(response.Body, 0)
				response.Body.Close()
			}
			cancel()
			is.True(err != nil)
			synctest.Wait()
			is.Equal(h.engine.Load().Running, 0)
		}
	})
}

// TestCancelOrder guards against a call that continues after it was cancelled, and
// against accepting a cancel order with a stale fencing token.
func TestCancelOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{ChecksFence: true})
		response, err := h.do(t.Context(), http.MethodPost, "/v1/chat/completions",
			chatBody(`,"stream":true,"min_tokens":1000`, "hi"), "X-Call-Id: c1", "X-Fence: 7")
		is.NoErr(err)
		defer response.Body.Close()
		synctest.Wait() // the call has a slot now
		is.Equal(h.order(engine.Order{Kind: engine.OrderCancel, Call: "c1", Fence: 6}), http.StatusConflict)
		is.Equal(h.engine.Load().Running, 1)
		is.Equal(h.order(engine.Order{Kind: engine.OrderCancel, Call: "c1", Fence: 7}), http.StatusOK)
		is.Equal(h.engine.Load().Running, 0)
		s, err := readStream(response.Body, 0)
		is.NoErr(err)
		is.True(!s.done) // a cancelled stream must not appear complete
	})
}

// TestResume guards against a resumed stream that repeats or omits tokens, and
// against calls that run forever when nobody resumes them.
func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{ResumeWindow: 2 * time.Second})
		body := chatBody(`,"stream":true,"min_tokens":60`, "hi")
		want := h.chat(body[:len(body)-1] + `,"stream":false}`).Choices[0].Message.Content
		begin := func(headers ...string) *http.Response {
			response, err := h.do(t.Context(), http.MethodPost, "/v1/chat/completions", body, headers...)
			is.NoErr(err)
			return response
		}
		first := begin("X-Call-Id: c1")
		start, err := readStream(first.Body, 20)
		is.NoErr(err)
		first.Body.Close()
		time.Sleep(time.Second)
		second := begin("X-Call-Id: c1", "Last-Event-ID: "+start.lastID)
		rest, err := readStream(second.Body, 0)
		is.NoErr(err)
		second.Body.Close()
		is.True(rest.done)
		is.Equal(start.text+rest.text, want)

		third := begin("X-Call-Id: c2")
		_, err = readStream(third.Body, 1)
		is.NoErr(err)
		third.Body.Close()
		time.Sleep(3 * time.Second)
		is.Equal(h.engine.Load().Running, 0)
		expired := begin("X-Call-Id: c2", "Last-Event-ID: 1")
		expired.Body.Close()
		is.Equal(expired.StatusCode, http.StatusNotFound)
	})
}

// TestFaults guards against faults that have no effect, which would make the
// gateway's fault tests pass without testing anything.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, engine.Settings{})
		body := chatBody(`,"stream":true,"min_tokens":50`, "hi")

		is.Equal(h.json(http.MethodPost, "/faults", `{"die_after_tokens":5,"times":1}`, nil), http.StatusNoContent)
		response, err := h.do(t.Context(), http.MethodPost, "/v1/chat/completions", body)
		is.NoErr(err)
		s, err := readStream(response.Body, 0)
		response.Body.Close()
		is.True(err != nil)
		is.Equal(s.tokens, 5)
		is.Equal(h.engine.Load().Running, 0)

		h.engine.SetFaults(engine.Faults{Hang: true, Times: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		_, err = h.do(ctx, http.MethodPost, "/v1/chat/completions", body)
		cancel()
		is.True(err != nil)

		h.engine.SetFaults(engine.Faults{FailStatus: 500, Times: 1})
		is.Equal(h.chat(body).status, 500)

		start := time.Now()
		h.chat(strings.Replace(body, `"stream":true`, `"stream":false`, 1))
		normal := time.Since(start)
		h.engine.SetFaults(engine.Faults{SlowFactor: 10})
		start = time.Now()
		h.chat(strings.Replace(body, `"stream":true`, `"stream":false`, 1))
		is.True(time.Since(start) >= 9*normal)
	})
}
