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

// varying are the values that differ between runs; each is replaced by a name.
var varying = []struct {
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

// transcript is what one session sent and got.
type transcript struct {
	mu   sync.Mutex
	text strings.Builder
	base http.RoundTripper
}

// RoundTrip records a caller's request and its whole answer.
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

// wrap records what an upstream saw.
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

// finish adds the log's records and the events' numbers, and replaces what varies.
func (r *transcript) finish(s *site, events string) []byte {
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
	for _, v := range varying {
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

// deployment returns a site of today's size with eight accounts.
func deployment(region string, domains []structs.Domain, models, apps string, engines, services int, delay time.Duration) siteConfig {
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

// runSession runs a session through the site's hosts and compares it with its golden
// file; go test -update writes the file.
func runSession(t *testing.T, name string, config siteConfig, session func(s *site, client *http.Client)) {
	var events safeBuffer
	record := &transcript{}
	config.wrap, config.logTo = record.wrap, &events
	runSite(t, config, func(s *site) {
		tr := transport.HTTPTransport(s.network.Host(callerIP))
		for i := range s.config.hosts {
			s.network.SetDelay(callerIP, ipOf(i), config.delay)
			s.network.SetDelay(ipOf(i), callerIP, config.delay)
		}
		record.base = tr
		session(s, &http.Client{Transport: record})
		tr.CloseIdleConnections()
		goldie.New(s.t).Assert(s.t, name, record.finish(s, events.String()))
	})
}

// safeBuffer collects the events of all hosts.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write adds text.
func (b *safeBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// String returns what was written.
func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestSessionFrioRetorno guards against a change of what callers, engines and services
// see in a return that the published OpenAI client drives.
func TestSessionFrioRetorno(t *testing.T) {
	config := deployment("valle-central", []structs.Domain{"heredia", "alajuela", "cartago", "san-jose"},
		"asistente-llm", "retornos-app", 8, 6, time.Millisecond)
	runSession(t, "frio_retorno", config, func(s *site, client *http.Client) {
		is := is.New(s.t)
		ai := openai.NewClient(option.WithBaseURL("http://"+addressOf(0)+"/v1"), option.WithAPIKey(s.key("clinic")),
			option.WithHTTPClient(client), option.WithHeader("Cowslip-Program", "return-17"))
		ask := func(text string) openai.ChatCompletionNewParams {
			return openai.ChatCompletionNewParams{Model: "assistant", MaxTokens: openai.Int(40),
				Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)}}
		}
		answer, err := ai.Chat.Completions.New(context.Background(), ask("I have four used packs."))
		is.NoErr(err)
		is.True(strings.HasPrefix(answer.Choices[0].Message.Content, "I see 1 messages"))
		stream := ai.Chat.Completions.NewStreaming(context.Background(), ask("Please pick them up."))
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
		is.Equal(s.runs("pickup-17"), 1)
	})
}

// TestSessionRetazo guards against a change of what callers, engines and services see in
// an auction: a bid coach, a bid and its retry at another host, and a refusal.
func TestSessionRetazo(t *testing.T) {
	config := deployment("ec-costa", []structs.Domain{"costa-a", "costa-b", "costa-c"},
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
		is.New(s.t).Equal(s.runs("bid-12"), 1)
	})
}

// sendWith sends a call to the i-th host with a client.
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
