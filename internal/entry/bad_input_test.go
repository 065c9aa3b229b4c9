package entry_test

import (
	"context"
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

// checkRefused fails the test unless the request was refused before it had any effect.
func checkRefused(t *testing.T, f *fixture, got result, status int, code string) {
	t.Helper()
	found, runStatus := got.problem()
	if got.status != status || found != code || runStatus != structs.RunNo {
		t.Errorf("status %d, code %q, run %q, %v; want %d, %q, no: %s", got.status, found, runStatus, got.err, status, code, got.body)
	}
	if got.header.Get("Content-Type") != "application/problem+json" {
		t.Errorf("content type %q", got.header.Get("Content-Type"))
	}
	if calls := f.upstreamCalls.Load(); calls != 0 {
		t.Errorf("%d requests reached an upstream", calls)
	}
	if len(f.owner.claims) != 0 || len(f.owner.begins) != 0 || f.rates.left != 1000 {
		t.Error("the request left a claim, a call or spent rate")
	}
}

// TestBadChat guards against chat requests that reach an upstream although they are
// malformed or not allowed.
func TestBadChat(t *testing.T) {
	with := func(fields string) string { return strings.Replace(callBody, `"model":"m"`, `"model":"m",`+fields, 1) }
	cases := []struct {
		name, body string
		status     int
		code       string
		headers    []string
	}{
		{"malformed JSON", `{"model":`, 400, "body-invalid", nil},
		{"trailing data", callBody + "{}", 400, "body-invalid", nil},
		{"not an object", `[]`, 400, "body-invalid", nil},
		{"null", `null`, 400, "body-invalid", nil},
		{"not UTF-8", "{\"model\":\"m\xff\"}", 400, "body-invalid", nil},
		{"empty", ``, 400, "body-invalid", nil},
		{"deep nesting", `{"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`, 400, "body-invalid", nil},
		{"no messages", `{"model":"m","messages":[]}`, 400, "body-invalid", nil},
		{"unknown role", `{"model":"m","messages":[{"role":"root","content":"x"}]}`, 400, "body-invalid", nil},
		{"content of a wrong kind", `{"model":"m","messages":[{"role":"user","content":5}]}`, 400, "body-invalid", nil},
		{"other spelling", with(`"Max_Tokens":5`), 400, "body-invalid", nil},
		{"stream of a wrong kind", with(`"stream":"yes"`), 400, "body-invalid", nil},
		{"options without stream", with(`"stream_options":{"include_usage":true}`), 400, "body-invalid", nil},
		{"two choices", with(`"n":2`), 400, "unsupported", nil},
		{"no completion", with(`"max_tokens":0`), 400, "body-invalid", nil},
		{"beyond the context", with(`"max_tokens":1001`), 400, "body-invalid", nil},
		{"differing limits", with(`"max_tokens":1,"max_completion_tokens":2`), 400, "body-invalid", nil},
		{"too large", strings.Repeat(" ", 5000) + callBody, 413, "body-too-large", nil},
		{"unknown model", `{"model":"x","messages":[{"role":"user","content":"x"}]}`, 404, "model_not_found", nil},
		{"model of another plan", `{"model":"other","messages":[{"role":"user","content":"x"}]}`, 404, "model_not_found", nil},
		{"no key", callBody, 401, "key-missing", []string{"Authorization", ""}},
		{"other scheme", callBody, 401, "key-malformed", []string{"Authorization", "Basic caller-key"}},
		{"empty key", callBody, 401, "key-malformed", []string{"Authorization", "Bearer "}},
		{"unknown key", callBody, 401, "key-unknown", []string{"Authorization", "Bearer other"}},
		{"program with a slash", callBody, 400, "program-invalid", []string{"Cowslip-Program", "a/b"}},
		{"program of another script", callBody, 400, "program-invalid", []string{"Cowslip-Program", "é"}},
		{"long program", callBody, 400, "program-invalid", []string{"Cowslip-Program", strings.Repeat("a", 129)}},
		{"parent with an empty part", callBody, 400, "program-invalid", []string{"Cowslip-Program", "a", "Cowslip-Parent", "b//c"}},
		{"parent alone", callBody, 400, "program-missing", []string{"Cowslip-Parent", "b"}},
		{"odd end", callBody, 400, "program-invalid", []string{"Cowslip-Program", "a", "Cowslip-Program-End", "1"}},
		{"idempotency key with a space", callBody, 400, "idempotency-key-invalid", []string{"Idempotency-Key", "a b"}},
		{"long idempotency key", callBody, 400, "idempotency-key-invalid", []string{"Idempotency-Key", strings.Repeat("k", 256)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(_ *is.I, f *fixture) {
				f.limits.MaxBody = 4096
				if c.name == "deep nesting" {
					f.limits.MaxBody = 1 << 20
				}
				f.replica(firstReplica, answer)
				f.start()
				checkRefused(t, f, f.chat(c.body, c.headers...), c.status, c.code)
			})
		})
	}
}

// TestBadPaths guards against paths and methods that reach an upstream outside the
// caller's routes.
func TestBadPaths(t *testing.T) {
	cases := []struct {
		method, path string
		status       int
		code         string
	}{
		{"POST", "/apps/app/bids/../other", 400, "path-invalid"},
		{"POST", "/apps/app/bids/%2e%2E/other", 400, "path-invalid"},
		{"POST", "/apps/app/./bids", 400, "path-invalid"},
		{"POST", "/apps/app//bids", 400, "path-invalid"},
		{"POST", "/apps/app/bids%2f..%2fother", 400, "path-invalid"},
		{"POST", "/apps/app/bids%5c..%5cother", 400, "path-invalid"},
		{"POST", "/apps/app/bids%00", 400, "path-invalid"},
		{"POST", "/apps/app/bids;x=1", 400, "path-invalid"},
		{"POST", "/apps/app/bids/%252e%252e/other", 400, "path-invalid"},
		{"POST", "/apps/app/bidsx", 404, "route-unknown"},
		{"POST", "/apps/app/other", 404, "route-unknown"},
		{"POST", "/apps/llm/bids", 404, "route-unknown"},
		{"POST", "/apps/", 404, "route-unknown"},
		{"GET", "/apps/app/bids", 405, "method-not-allowed"},
		{"GET", "/v1/chat/completions", 405, "method-not-allowed"},
		{"TRACE", "/apps/app/open", 405, "method-not-allowed"},
		{"POST", "/v1/models", 405, "method-not-allowed"},
		{"GET", "/v1/chat/completions/", 404, "path-unknown"},
		{"GET", "/metrics", 404, "path-unknown"},
	}
	for _, c := range cases {
		run(t, func(_ *is.I, f *fixture) {
			f.replica(firstReplica, answer)
			f.start()
			answered := f.raw(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", c.method, c.path, callerKey), nil)
			head, body, _ := strings.Cut(answered, "\r\n\r\n")
			got := result{body: body, header: http.Header{"Content-Type": {"application/problem+json"}}}
			fmt.Sscanf(head, "HTTP/1.1 %d", &got.status)
			if !strings.Contains(head, "application/problem+json") {
				t.Errorf("%s: %s", c.path, head)
			}
			checkRefused(t, f, got, c.status, c.code)
		})
	}
}

// TestBadFraming guards against requests that parsers could split differently, and
// against callers that send slowly or stop sending.
func TestBadFraming(t *testing.T) {
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerKey + "\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(callBody), callBody)
	good := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(callBody), callBody)
	wait := func(net.Conn) { time.Sleep(time.Minute) }
	cases := []struct {
		name, text string
		then       func(net.Conn)
		want       string
	}{
		{"length and chunks", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, nil, "framing-ambiguous"},
		{"chunks and length", head + "Transfer-Encoding: chunked\r\ncontent-length:5\r\n\r\n" + chunked, nil, "framing-ambiguous"},
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcde", nil, "400 Bad Request"},
		{"unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunked, nil, "501"},
		{"space before colon", head + "Content-Length : 5\r\n\r\nabcde", nil, "400 Bad Request"},
		{"line break in a header", head + "Cowslip-Program: a\r\n\tb\r\nContent-Length: 0\r\n\r\n", nil, "program-invalid"},
		{"carriage return in a header", head + "Cowslip-Program: a\rX-Fence: 1\r\nContent-Length: 0\r\n\r\n", nil, "400 Bad Request"},
		{"two programs", head + "Cowslip-Program: a\r\nCowslip-Program: b\r\nContent-Length: 0\r\n\r\n", nil, "header-repeated"},
		{"two keys", head + "Authorization: Bearer x\r\nContent-Length: 0\r\n\r\n", nil, "key-malformed"},
		{"long header", head + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", nil, "431"},
		{"slow head", head, wait, ""},
		{"slow body", strings.Replace(good, callBody, callBody[:9], 1), wait, "body-timeout"},
		{"half a body", strings.Replace(good, callBody, callBody[:9], 1), halfClose, "body-incomplete"},
		{"half of the chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked[:12], halfClose, "body-incomplete"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(is *is.I, f *fixture) {
				f.replica(firstReplica, answer)
				f.start()
				answered := f.raw(c.text, c.then)
				is.True(strings.Contains(answered, c.want))
				is.True(c.want != "" || answered == "" || strings.Contains(answered, "408"))
				is.Equal(f.upstreamCalls.Load(), int64(0))
				is.Equal(f.rates.left, int64(1000))
			})
		})
	}
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, answer)
		f.start()
		second := head + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked
		is.True(strings.Contains(f.raw(good, func(conn net.Conn) {
			synctest.Wait()
			io.WriteString(conn, second)
		}), "hello"))
		is.Equal(f.upstreamCalls.Load(), int64(2))
	})
}

// halfClose closes the sending direction of a connection.
func halfClose(conn net.Conn) {
	conn.(interface{ CloseWrite() error }).CloseWrite()
}

// TestEndProgram guards against programs that cannot be ended without a call.
func TestEndProgram(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.start()
		got := f.do(context.Background(), http.MethodPost, "/v1/chat/completions", "", "Cowslip-Program", "p", "Cowslip-Program-End", "true")
		is.Equal(got.status, 204)
		is.Equal(f.owner.ends[0].Key.Program, structs.ProgramID("p"))
	})
}
