package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestEntryHosts guards against host lists that include leaving hosts, or that direct
// callers to a failure domain other than their own.
func TestEntryHosts(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.start()
		read := func(path string) (order string, ttl int) {
			var document struct {
				Hosts []struct{ Address string }
				TTL   int `json:"ttl_seconds"`
			}
			got := f.do(context.Background(), http.MethodGet, path, "", "Authorization", "")
			is.NoErr(json.Unmarshal([]byte(got.body), &document))
			for _, host := range document.Hosts {
				order += strings.TrimSuffix(host.Address, ":80")
			}
			return order, document.TTL
		}
		order, ttl := read("/v1/entry-hosts")
		is.True(order == "h1h2h3" || order == "h2h1h3")
		is.Equal(ttl, 30)
		order, _ = read("/v1/entry-hosts?failure_domain=b")
		is.True(strings.HasPrefix(order, "h3"))
		f.server.StartDrain()
		order, _ = read("/v1/entry-hosts")
		is.Equal(order, "h2h3")
	})
}

// TestDrain guards against a planned stop that interrupts a call, or that does not wait
// for claimed calls whose callers have disconnected.
func TestDrain(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, func(w http.ResponseWriter, _ *http.Request) {
			streamWords(w, "hel")
			time.Sleep(9 * time.Second)
			endStream(w)
		})
		f.start()
		got := make(chan result, 1)
		go func() { got <- f.chat(streamBody) }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		f.do(ctx, http.MethodPost, "/v1/chat/completions", streamBody, "Idempotency-Key", "k")
		began := time.Now()
		shutdownTook := make(chan time.Duration, 1)
		go func() {
			is.NoErr(f.server.Shutdown(context.Background()))
			shutdownTook <- time.Since(began)
		}()
		time.Sleep(time.Second)
		late := f.do(context.Background(), http.MethodGet, "/healthz", "")
		is.Equal(late.status, 200)
		is.True(late.close)
		is.True(strings.HasSuffix((<-got).body, "[DONE]\n\n"))
		f.client.CloseIdleConnections()
		is.True(<-shutdownTook >= 8*time.Second)
		is.Equal(len(f.owner.closed()), 1)
	})
}

// TestModelsAndMetrics guards against listing models of other plans, and against
// missing metrics.
func TestModelsAndMetrics(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, answer)
		f.start()
		got := f.do(context.Background(), http.MethodGet, "/v1/models", "")
		is.Equal(got.body, `{"data":[{"id":"m","object":"model","created":0,"owned_by":"cowslipgw"}],"object":"list"}`)
		f.chat(streamBody)
		f.chat("{")
		synctest.Wait()
		var text bytes.Buffer
		f.server.Metrics().WritePrometheus(&text)
		for _, want := range []string{
			`cowslipgw_requests_total{route="chat",code="200"} 1`,
			`cowslipgw_requests_total{route="chat",code="400"} 1`,
			`cowslipgw_problems_total{reason="body-invalid"} 1`,
			`cowslipgw_first_token_seconds_count 1`,
			`cowslipgw_streams_open 0`,
		} {
			if !strings.Contains(text.String(), want) {
				t.Errorf("%s is missing in:\n%s", want, text.String())
			}
		}
	})
}

// TestOpenAIClient guards against answers, streams and problems that a stock OpenAI
// client cannot read, and against requests that it retries although they may have run.
func TestOpenAIClient(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		fail := false
		f.replica(firstReplica, func(w http.ResponseWriter, r *http.Request) {
			if fail {
				panic(http.ErrAbortHandler)
			}
			answer(w, r)
		})
		f.start()
		client := openai.NewClient(option.WithAPIKey(callerKey), option.WithBaseURL("http://"+entryAddress+"/v1"), option.WithHTTPClient(f.client))
		params := openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")}}
		whole, err := client.Chat.Completions.New(context.Background(), params)
		is.NoErr(err)
		is.Equal(whole.Choices[0].Message.Content, "hello")

		params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		var assembled openai.ChatCompletionAccumulator
		for stream.Next() {
			assembled.AddChunk(stream.Current())
		}
		is.NoErr(stream.Err())
		is.NoErr(stream.Close())
		is.Equal(assembled.Choices[0].Message.Content, "hello")
		is.Equal(assembled.Usage.TotalTokens, int64(5))

		params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
		params.Model = "unknown"
		_, err = client.Chat.Completions.New(context.Background(), params)
		var failure *openai.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.StatusCode, 404)
		is.Equal(failure.Code, "model_not_found")
		is.True(strings.Contains(failure.Message, "run: no"))

		params.Model, fail = "m", true
		before := f.upstreamCalls.Load()
		_, err = client.Chat.Completions.New(context.Background(), params, option.WithHeader("Idempotency-Key", "k"))
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, "answer-cut-short")
		is.Equal(f.upstreamCalls.Load()-before, int64(1))
		synctest.Wait()
	})
}
