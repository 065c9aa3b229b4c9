package host_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/sebdah/goldie/v2"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

// volatileValues are patterns of values that differ between runs. Each distinct value is
// replaced by a numbered placeholder.
var volatileValues = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`host-\d\d-\d+-\d+`), "call"},
	{regexp.MustCompile(`cgw_key-of-[a-z-]+\d+[a-z]+`), "key"},
	{regexp.MustCompile(`\b\d{12,}\b`), "program"},
	{regexp.MustCompile(`(asistente-llm|retornos-app|llm-pool|auction-app)-\d`), "replica"},
	{regexp.MustCompile(`"created":\d+`), "created"},
	{regexp.MustCompile(`"at":"[^"]+"`), "at"},
}

// transcript records the requests and answers of one session.
type transcript struct {
	mu   sync.Mutex
	text strings.Builder
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. It records the request of a caller and the
// complete answer.
func (r *transcript) RoundTrip(request *http.Request) (*http.Response, error) {
	var sent []byte
	if request.Body != nil {
		sent, _ = io.ReadAll(request.Body)
		request.Body = io.NopCloser(bytes.NewReader(sent))
	}
	response, err := r.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	got, err := io.ReadAll(response.Body)
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(got))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "\ncaller sends %s %s %s\n%s\n", request.Method, request.URL.Path, headersOf(request.Header,
		"Authorization", "Cowslip-Program", "Cowslip-Parent", "Idempotency-Key"), bytes.TrimSpace(sent))
	fmt.Fprintf(&r.text, "caller gets %d %s\n%s\n", response.StatusCode, headersOf(response.Header,
		"Content-Type", "Idempotency-Replayed", "RateLimit-Policy"), bytes.TrimSpace(got))
	return response, err
}

func headersOf(header http.Header, names ...string) string {
	var parts []string
	for _, name := range names {
		if value := header.Get(name); value != "" {
			parts = append(parts, name+": "+value)
		}
	}
	return strings.Join(parts, "; ")
}

// wrap returns a handler that records the requests that a replica receives.
func (r *transcript) wrap(replica string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/v1/load" && request.URL.Path != "/v1/cache/events" {
			body, _ := io.ReadAll(request.Body)
			request.Body = io.NopCloser(bytes.NewReader(body))
			r.mu.Lock()
			fmt.Fprintf(&r.text, "\nupstream %s sees %s %s %s\n%s\n", replica, request.Method, request.URL.Path,
				headersOf(request.Header, "Authorization", "X-Program", "X-Call-Id", "Idempotency-Key"), bytes.TrimSpace(body))
			r.mu.Unlock()
		}
		next.ServeHTTP(w, request)
	})
}

// render returns the transcript with the kinds of log records and the event numbers
// added and with placeholders for volatile values.
func (r *transcript) render(s *site, events string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	kinds := make(map[string]int)
	for _, record := range s.log.Records(fleet.Stream) {
		kind := regexp.MustCompile(`"kind":"([a-z]+)"`).FindStringSubmatch(string(record.Data))
		kinds["fleet "+kind[1]]++
	}
	kinds["lists"] = len(s.log.Records(lists.Stream))
	var lines []string
	for kind, count := range kinds {
		lines = append(lines, fmt.Sprintf("log has %d records: %s", count, kind))
	}
	for _, number := range regexp.MustCompile(`"event":(\d+)`).FindAllStringSubmatch(events, -1) {
		lines = append(lines, "event "+number[1])
	}
	slices.Sort(lines)
	text := r.text.String() + "\n" + strings.Join(slices.Compact(lines), "\n") + "\n"
	for _, v := range volatileValues {
		names := make(map[string]string)
		text = v.pattern.ReplaceAllStringFunc(text, func(found string) string {
			if names[found] == "" {
				names[found] = fmt.Sprintf("{%s %d}", v.name, len(names)+1)
			}
			return names[found]
		})
	}
	return []byte(text)
}

// deploymentConfig returns the configuration of a site of the size of current
// deployments, with eight accounts.
func deploymentConfig(region string, domains []structs.Domain, models, apps string, engines, services int, delay time.Duration) siteConfig {
	var accounts strings.Builder
	for i, name := range []string{"hospital", "pharmacy", "meal-kit", "clinic", "yard", "tiles", "metal", "workshop"} {
		plan := "small"
		if i < 3 {
			plan = "large"
		}
		fmt.Fprintf(&accounts, "[account %s]\nplan = %s\nkeys = {key %s}\n\n", name, plan, name)
	}
	plans := strings.NewReplacer("pool = llm", "pool = "+models, "pool = app", "pool = "+apps).Replace(defaultPlans)
	return siteConfig{
		region: structs.Region(region), domains: domains, hosts: 12, modelPool: models, appPool: apps,
		engines: engines, apps: services, accounts: accounts.String(), plans: plans, delay: delay,
	}
}

// runSession runs a session against the hosts of a site and compares its transcript with
// the golden file. Run go test -update to rewrite the file.
func runSession(t *testing.T, name string, config siteConfig, session func(s *site, client *http.Client)) {
	var events syncBuffer
	record := &transcript{}
	config.wrapReplica, config.logOutput = record.wrap, &events
	runSite(t, config, func(s *site) {
		tr := transport.HTTPTransport(s.network.Host(callerIP))
		for i := range s.config.hosts {
			s.network.SetDelay(callerIP, ipOf(i), config.delay)
			s.network.SetDelay(ipOf(i), callerIP, config.delay)
		}
		record.base = tr
		session(s, &http.Client{Transport: record})
		tr.CloseIdleConnections()
		goldie.New(s.t).Assert(s.t, name, record.render(s, events.String()))
	})
}

// syncBuffer is a buffer for the events of all hosts that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// String returns everything that was written so far.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestSessionFrioRetorno guards against unintended changes of the messages that callers,
// engines and app services see while the published OpenAI client runs a product return.
func TestSessionFrioRetorno(t *testing.T) {
	config := deploymentConfig("valle-central", []structs.Domain{"heredia", "alajuela", "cartago", "san-jose"},
		"asistente-llm", "retornos-app", 8, 6, time.Millisecond)
	runSession(t, "frio_retorno", config, func(s *site, client *http.Client) {
		is := is.New(s.t)
		ai := openai.NewClient(option.WithBaseURL("http://"+addressOf(0)+"/v1"), option.WithAPIKey(s.key("clinic")),
			option.WithHTTPClient(client), option.WithHeader("Cowslip-Program", "return-17"))
		chatParams := func(text string) openai.ChatCompletionNewParams {
			return openai.ChatCompletionNewParams{Model: "assistant", MaxTokens: openai.Int(40),
				Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)}}
		}
		answer, err := ai.Chat.Completions.New(context.Background(), chatParams("I have four used packs."))
		is.NoErr(err)
		is.True(strings.HasPrefix(answer.Choices[0].Message.Content, "I see 1 messages"))
		stream := ai.Chat.Completions.NewStreaming(context.Background(), chatParams("Please pick them up."))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		is.NoErr(stream.Err())
		is.True(strings.HasPrefix(text.String(), "I see 3 messages"))
		_, err = ai.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{Model: "unknown",
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Hello")}})
		is.True(err != nil)
		for host := range 2 {
			s.sendWith(client, host, s.pickup("clinic", "pickup-17", "four packs"))
		}
		is.Equal(s.executions("pickup-17"), 1)
	})
}

// TestSessionRetazo guards against unintended changes of the messages that callers,
// engines and app services see in an auction: chats with a bid coach, a bid and its
// retry at another host, and refusals.
func TestSessionRetazo(t *testing.T) {
	config := deploymentConfig("ec-costa", []structs.Domain{"costa-a", "costa-b", "costa-c"},
		"llm-pool", "auction-app", 8, 4, 3*time.Millisecond)
	runSession(t, "retazo", config, func(s *site, client *http.Client) {
		s.sendWith(client, 0, s.chat("workshop", "bid-coach-5", "Is lot 12 worth a bid?"))
		s.sendWith(client, 7, s.chat("workshop", "describer", "Describe lot 12.").with("Cowslip-Parent", "bid-coach-5"))
		s.sendWith(client, 4, s.chat("yard", "bid-coach-5", "How many lots are mine?"))
		for _, host := range []int{3, 9} {
			s.sendWith(client, host, s.pickup("workshop", "bid-12", "lot 12, 40 dollars"))
		}
		s.sendWith(client, 9, s.pickup("workshop", "bid-12", "lot 12, 50 dollars"))
		s.sendWith(client, 2, call{method: http.MethodGet, path: "/apps/auction-app/status", key: s.key("yard")})
		s.sendWith(client, 2, call{method: http.MethodGet, path: "/v1/models", key: "withdrawn"})
		is.New(s.t).Equal(s.executions("bid-12"), 1)
	})
}

// sendWith sends a call to the i-th host through the given client.
func (s *site) sendWith(client *http.Client, i int, c call) {
	request, err := http.NewRequest(c.method, "http://"+addressOf(i)+c.path, strings.NewReader(c.body))
	if err != nil {
		s.t.Fatal(err)
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	response.Body.Close()
}
