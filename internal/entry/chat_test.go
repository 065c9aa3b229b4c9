package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/structs"
)

// run runs a test with a fixture in virtual time.
func run(t *testing.T, test func(is *is.I, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(is.New(t), newFixture(t))
	})
}

// TestChatProgram guards against losing the history or the settlement, forwarding
// callers' keys to upstreams, and omitting RateLimit headers.
func TestChatProgram(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		var header http.Header
		var sent string
		f.replica(firstReplica, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			header, sent = r.Header, string(body)
			io.WriteString(w, wholeAnswer)
		})
		f.owner.history = []structs.Message{{Role: "system", Content: []byte(`"be brief"`)}}
		f.start()
		got := f.chat(callBody, "Cowslip-Program", "p2", "Cowslip-Parent", "p0/p1", "Cowslip-Program-End", "true", "Cookie", "c=1")
		is.Equal(got.status, 200)
		is.Equal(got.body, wholeAnswer)
		is.Equal(got.header.Get("RateLimit"), `"account";r=999;t=3`)
		is.Equal(got.header.Get("RateLimit-Policy"), `"account";q=20;w=2`)
		is.Equal(header.Get("Authorization"), "Bearer host-credential")
		is.Equal(header.Get("Cookie"), "")
		is.Equal(header.Get("X-Program"), "77")
		is.Equal(header.Get("X-Fence"), "5")
		is.Equal(header.Get("X-Call-Id"), "h1-4-1")
		is.True(strings.Contains(sent, `"be brief"`))
		is.True(strings.Contains(sent, `"max_tokens":1000`))
		is.Equal(f.owner.begins[0].Key.Root, structs.ProgramID("p0"))
		is.Equal(f.owner.begins[0].Depth, 3)
		settled := f.owner.lastSettle()
		is.Equal(settled.Outcome, structs.OutcomeAnswered)
		is.Equal(string(settled.Answer.Content), `"hello"`)
		is.Equal(settled.Usage.TotalTokens, 4)
		is.True(settled.End)
		is.Equal(f.dispatcher.results[0].Usage.TotalTokens, 4)
	})
}

// TestChatStream guards against events that are lost, altered or buffered, and against
// a usage event that the caller did not request.
func TestChatStream(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, answer)
		f.start()
		got := f.chat(streamBody)
		is.Equal(got.header.Get("Content-Type"), "text/event-stream")
		is.Equal(strings.Count(got.body, "data: "), 4)
		is.True(strings.HasSuffix(got.body, "data: [DONE]\n\n"))
		is.True(!strings.Contains(got.body, "usage"))
		got = f.chat(strings.Replace(streamBody, `"stream":true`, `"stream":true,"stream_options":{"include_usage":true}`, 1))
		is.True(strings.Contains(got.body, `"total_tokens":5`))
	})
}

// TestClaimReplay guards against a second run under the same idempotency key, and
// against a stored answer that a retry cannot get in the other form.
func TestClaimReplay(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, answer)
		f.start()
		first := f.chat(streamBody, "Idempotency-Key", "k1")
		is.True(strings.HasSuffix(first.body, "[DONE]\n\n"))
		whole := f.chat(callBody, "Idempotency-Key", "k1")
		is.Equal(whole.status, 200)
		is.True(strings.Contains(whole.body, `"content":"hello"`))
		is.Equal(whole.header.Get("Idempotency-Replayed"), "true")
		streamed := f.chat(streamBody, "Idempotency-Key", "k1")
		is.True(strings.Contains(streamed.body, `"content":"hello"`))
		is.True(strings.HasSuffix(streamed.body, "[DONE]\n\n"))
		other := f.chat(strings.Replace(callBody, "hi", "ho", 1), "Idempotency-Key", "k1")
		is.Equal(other.status, 422)
		is.Equal(f.upstreamCalls.Load(), int64(1))
	})
}

// TestClaimNotStored guards against a retry that runs the request again because its
// answer was too long to be stored.
func TestClaimNotStored(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.limits.StoredAnswerLimit = 10
		f.replica(firstReplica, answer)
		f.start()
		is.Equal(f.chat(callBody, "Idempotency-Key", "k1").body, wholeAnswer)
		retry := f.chat(callBody, "Idempotency-Key", "k1")
		code, runStatus := retry.problem()
		is.Equal(retry.status, 409)
		is.Equal(code, "answer-not-stored")
		is.Equal(runStatus, structs.RunYes)
		is.Equal(f.upstreamCalls.Load(), int64(1))
	})
}

// TestRefusalsLeaveNothing guards against refused requests that leave behind claims,
// program calls or upstream calls, and against a wrong "run" status.
func TestRefusalsLeaveNothing(t *testing.T) {
	cases := []struct {
		name   string
		set    func(*fixture)
		status int
		code   string
	}{
		{"rate", func(f *fixture) { f.rates.left = 0 }, 429, "rate-exceeded"},
		{"rate owner", func(f *fixture) { f.rates.err = errors.New("down") }, 503, "rate-unavailable"},
		{"stale", func(f *fixture) { f.freshness.stale = true }, 503, "not-current"},
		{"budget", func(f *fixture) {
			f.owner.beginErr = &structs.Problem{Code: "budget-exhausted", Status: 402, Run: structs.RunNo}
		}, 402, "budget-exhausted"},
		{"no replica", func(f *fixture) { f.dispatcher.addresses = nil }, 503, "no-replica"},
		{"unreachable", func(*fixture) {}, 503, "no-replica"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(is *is.I, f *fixture) {
				c.set(f)
				f.start()
				got := f.chat(callBody, "Idempotency-Key", "k1", "Cowslip-Program", "p")
				code, runStatus := got.problem()
				is.Equal(got.status, c.status)
				is.Equal(code, c.code)
				is.Equal(runStatus, structs.RunNo)
				is.Equal(got.header.Get("Retry-After") != "", c.status != 402)
				is.Equal(len(f.owner.claims), 0)
				is.True(len(f.owner.settles) == 0 || f.owner.lastSettle().Outcome == structs.OutcomeNotRun)
			})
		})
	}
}

// TestTruncatedStream guards against a partial stream that looks complete, and against a
// program that ends although its last call failed.
func TestTruncatedStream(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, func(w http.ResponseWriter, _ *http.Request) { streamWords(w, "hel") })
		f.start()
		got := f.chat(streamBody, "Cowslip-Program", "p", "Cowslip-Program-End", "true")
		is.True(!strings.Contains(got.body, "[DONE]"))
		is.True(strings.Contains(got.body, `"run":"unknown"`))
		is.Equal(f.owner.lastSettle().Outcome, structs.OutcomeUnknown)
		is.True(!f.owner.lastSettle().End)
	})
}

// TestCallerGone guards against unclaimed streams that continue without a caller, and
// against claimed ones that do not run to completion.
func TestCallerGone(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		run(t, func(is *is.I, f *fixture) {
			cancelled := make(chan bool, 1)
			f.replica(firstReplica, func(w http.ResponseWriter, r *http.Request) {
				streamWords(w, "hel")
				select {
				case <-r.Context().Done():
					cancelled <- true
				case <-time.After(5 * time.Second):
					streamWords(w, "lo")
					endStream(w)
					cancelled <- false
				}
			})
			f.start()
			headers := []string{"Cowslip-Program", "p"}
			if claimed {
				headers = append(headers, "Idempotency-Key", "k1")
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			got := f.do(ctx, http.MethodPost, "/v1/chat/completions", streamBody, headers...)
			is.True(errors.Is(got.err, context.DeadlineExceeded))
			is.Equal(<-cancelled, !claimed)
			synctest.Wait()
			if !claimed {
				is.Equal(f.owner.lastSettle().Outcome, structs.OutcomeUnknown)
				return
			}
			is.Equal(f.owner.lastSettle().Outcome, structs.OutcomeAnswered)
			retry := f.chat(callBody, "Cowslip-Program", "p", "Idempotency-Key", "k1")
			is.True(strings.Contains(retry.body, `"content":"hello"`))
			is.Equal(f.upstreamCalls.Load(), int64(1))
		})
	}
}

// TestKeyWithdrawn guards against streams that outlive their key, and against a claimed
// call that is not settled because its key was withdrawn.
func TestKeyWithdrawn(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		run(t, func(is *is.I, f *fixture) {
			f.replica(firstReplica, func(w http.ResponseWriter, r *http.Request) {
				streamWords(w, "hel")
				select {
				case <-r.Context().Done():
				case <-time.After(30 * time.Second / 5):
					endStream(w)
				}
			})
			f.start()
			headers := []string{"Cowslip-Program", "p"}
			if claimed {
				headers = append(headers, "Idempotency-Key", "k1")
			}
			go func() {
				time.Sleep(time.Second)
				f.lists.put(testLists("another-key"))
			}()
			began := time.Now()
			got := f.chat(streamBody, headers...)
			is.Equal(time.Since(began), time.Second)
			is.True(strings.Contains(got.body, `"code":"key-withdrawn"`))
			is.Equal(f.chat(callBody).status, 401)
			time.Sleep(20 * time.Second)
			want := structs.OutcomeUnknown
			if claimed {
				want = structs.OutcomeAnswered
			}
			is.Equal(f.owner.lastSettle().Outcome, want)
		})
	}
}

// TestSlowCaller guards against mistaking a caller that accepts events slowly for an
// engine that stalls.
func TestSlowCaller(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		const words = 40
		word := strings.Repeat("x", 16<<10)
		f.replica(firstReplica, func(w http.ResponseWriter, _ *http.Request) {
			for range words {
				streamWords(w, word)
			}
			endStream(w)
		})
		f.start()
		got := f.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer "+callerKey+
			fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(streamBody), streamBody), func(net.Conn) { time.Sleep(20 * time.Second) })
		is.Equal(strings.Count(got, word), words)
		is.True(strings.Contains(got, "[DONE]"))
	})
}

// TestTrace guards against losing a caller's trace at the entry host.
func TestTrace(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		var parent string
		f.replica(firstReplica, func(w http.ResponseWriter, r *http.Request) {
			parent = r.Header.Get("Traceparent")
			answer(w, r)
		})
		f.start()
		f.chat(callBody, "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
		is.True(strings.HasPrefix(parent, "00-0af7651916cd43dd8448eb211c80319c-"))
		is.True(!strings.Contains(parent, "b7ad6b7169203331"))
	})
}

// TestDispatchWindow guards against sending a call long after it began, when the owner may have
// let the program's next call run.
func TestDispatchWindow(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.dispatcher.wait = 3 * time.Second
		f.replica(firstReplica, answer)
		f.start()
		is.Equal(f.chat(callBody, "Cowslip-Program", "p").status, 200)
		is.Equal(len(f.owner.begins), 2)
		is.Equal(f.owner.begins[0].Call, f.owner.begins[1].Call)
	})
}

// TestNotCommitted guards against a caller that takes an answer for part of the history
// although the owner rejected the settlement.
func TestNotCommitted(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.owner.settleErr = &structs.Problem{Code: "call-ended", Status: 409, Run: structs.RunUnknown}
		f.replica(firstReplica, answer)
		f.start()
		got := f.chat(streamBody, "Cowslip-Program", "p")
		is.True(!strings.Contains(got.body, "[DONE]"))
		is.True(strings.Contains(got.body, `"run":"yes"`))
	})
}
