package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/host"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/standin/app"
)

// processSite is a site whose hosts and stand-ins run as separate processes.
type processSite struct {
	t       *testing.T
	dir     string
	log     string
	hosts   []*process
	entries []string
	admins  []string
	key     string
	app     string
}

const processStandin = `
[log]
listen = %s
[hosts]
listen = %s
lag = 200ms
[engine "llm-pool"]
listen = %s
models = assistant
checks_fence = true
failure_domains = domain-a
replicas = 1
[app "app"]
listen = %s
replicas = 1
failure_domains = domain-a
work = 20ms
`

const processHost = `
[host]
id = host-%d
region = local
failure_domain = domain-%d
entry_address = %s
admin_address = %s
control_address = %s
[platform]
log = http://%s
host_list = http://%s
[upstream]
credential = test-credential
[limits]
entry_hosts_ttl = 1s
[log]
level = info
`

// startProcessSite starts stand-ins and hosts as processes and publishes the example
// lists with the lists command.
func startProcessSite(t *testing.T, hosts int) *processSite {
	t.Helper()
	s := &processSite{t: t, dir: t.TempDir()}
	ports := freePorts(t, 4+3*hosts)
	s.log, s.app = ports[0], ports[3]
	startProcess(t, "standin", "-config", s.write("standin.ini", fmt.Sprintf(processStandin, ports[0], ports[1], ports[2], ports[3])))
	for i := range hosts {
		own := ports[4+3*i:]
		s.entries, s.admins = append(s.entries, own[0]), append(s.admins, own[1])
		config := fmt.Sprintf(processHost, i+1, i%3, own[0], own[1], own[2], ports[0], ports[1])
		name := fmt.Sprintf("host-%d.ini", i+1)
		s.hosts = append(s.hosts, startProcess(t, "serve", "-config", s.write(name, config)))
	}
	s.publishLists()
	for i := range hosts {
		s.waitFor("every host to be ready", func() bool { return s.viewSize(i) == hosts && s.ready(i) })
	}
	return s
}

func (s *processSite) write(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// publishLists puts the example lists through the first host.
func (s *processSite) publishLists() {
	s.t.Helper()
	key, err := account.NewKey()
	if err != nil {
		s.t.Fatal(err)
	}
	s.key = key
	second, err := account.NewKey()
	if err != nil {
		s.t.Fatal(err)
	}
	accounts := strings.NewReplacer("{{.FirstKey}}", lists.HashKey(key).String(), "{{.SecondKey}}", lists.HashKey(second).String())
	dir := filepath.Join(s.dir, "lists")
	s.waitFor("the first lists to be put", func() bool {
		_ = os.RemoveAll(dir)
		var out bytes.Buffer
		get := []string{"lists", "get", "-host", s.admins[0], "-dir", dir}
		if dispatch(context.Background(), get, &out, &out) != exitOK {
			return false
		}
		s.write("lists/accounts.ini", accounts.Replace(exampleAccounts))
		s.write("lists/plans.ini", examplePlans)
		put := []string{"lists", "put", "-host", s.admins[0], "-dir", dir, "-by", "ana", "-message", "first lists"}
		return dispatch(context.Background(), put, &out, &out) == exitOK
	})
}

func (s *processSite) waitFor(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("waited 30 s for %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *processSite) ready(i int) bool {
	response, err := http.Get("http://" + s.admins[i] + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// viewSize returns the number of hosts in a host's view, or 0 if it does not respond.
func (s *processSite) viewSize(i int) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var status host.Status
	if (adminClient{s.admins[i]}).getJSON(ctx, "/admin/status", &status) != nil {
		return 0
	}
	return len(status.Hosts)
}

// post sends a request of the example account and returns the status and the body.
func (s *processSite) post(i int, path, body string, header ...string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.entries[i]+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+s.key)
	request.Header.Set("Content-Type", "application/json")
	for n := 0; n+1 < len(header); n += 2 {
		request.Header.Set(header[n], header[n+1])
	}
	client := http.Client{Timeout: 30 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// chat sends the next message of a program.
func (s *processSite) chat(i int, program string) (int, string, error) {
	const body = `{"model":"assistant","max_tokens":32,"messages":[{"role":"user","content":"next"}]}`
	return s.post(i, "/v1/chat/completions", body, "Cowslip-Program", program)
}

// pickupRuns returns how often the app stand-in ran requests with the given key.
func (s *processSite) pickupRuns(key string) int {
	s.t.Helper()
	response, err := http.Get("http://" + s.app + "/_runs")
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	var report struct {
		Runs []app.RunCount `json:"runs"`
	}
	if err := json.Unmarshal(data, &report); err != nil {
		s.t.Fatalf("%v: %s", err, data)
	}
	total := 0
	for _, run := range report.Runs {
		if run.Key == key {
			total += run.Runs
		}
	}
	return total
}

// active returns the number of active requests at a host.
func (s *processSite) active(i int) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var status host.Status
	if (adminClient{s.admins[i]}).getJSON(ctx, "/admin/status", &status) != nil {
		return 0
	}
	return status.Requests
}

// stream runs a streamed call that takes some seconds and returns its last line or the
// error.
func (s *processSite) stream(i int) string {
	body := `{"model":"assistant","stream":true,"max_tokens":200,"min_tokens":200,"messages":[{"role":"user","content":"long"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+s.entries[i]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+s.key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	last := fmt.Sprintf("status %d", response.StatusCode)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if line := scanner.Text(); line != "" {
			last = line
		}
	}
	if err := scanner.Err(); err != nil {
		return err.Error()
	}
	return last
}
