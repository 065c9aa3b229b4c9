package main

import (
	"net/http"
	"time"
)

// playRevoke takes the only tenant, and with it the last key, out of the configuration.
func playRevoke(w *World, trouble bool) (bool, error) {
	if err := w.AddHosts(3); err != nil {
		return false, err
	}
	key := w.tenants[0].Keys[0]
	requests := func(key string) []Request {
		return []Request{
			{Method: http.MethodGet, Path: statusPath, Key: key, Deadline: 1200 * time.Millisecond},
			{Method: http.MethodPost, Path: bookPath, Key: key, Body: input(600), Deadline: 2 * time.Second},
			{Method: http.MethodPost, Path: chatPath, Key: key, Body: input(usualBody), Program: "p1", Session: "s1", Prompt: 1000, Tokens: turnTokens},
		}
	}
	// send sends each request to each host and returns how many of them ran.
	send := func(what, key string) (ran int) {
		for _, h := range w.Hosts() {
			for _, q := range requests(key) {
				q.Host = h.Frontend
				reply := w.clients.Send(q)
				for _, run := range w.runs.Of(reply.ID) {
					ran++
					w.record.Say("%s: request %s for %s ran at replica %s with tenant %q; the client got %d", what, reply.ID, q.Path, run.Replica, run.Tenant, reply.Status)
				}
			}
		}
		return ran
	}
	if send("before the change", key) == 0 {
		return false, nil
	}
	if trouble {
		w.tenants = nil
		w.PutConfig()
		w.record.Say("the operator has taken the tenant and its key out of the configuration")
	}
	time.Sleep(revokeTime + 3*time.Second)
	ran := 0
	if trouble {
		ran = send("later than revoke_ms after the change", key)
	}
	strange := send("with a key that no configuration ever held", "zzzzzzzzzzzzzzzzzzzz")
	w.record.Say("%d requests ran with a key that was taken away, %d with a key that never was", ran, strange)
	return ran+strange > 0, nil
}
