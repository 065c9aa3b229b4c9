package main

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	// quotaWindow, quotaExcess and quotaSlack are the bounds of the settings.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// usualShare is what a tenant usually sends, as a share of its rate, and hotFactor how many times
	// that it sends now.
	usualShare = 1 / 1.6
	hotFactor  = 7.5
	// crashTime is how long each host in turn crashes again and again, upTime after each start.
	crashTime = 9 * time.Second
	upTime    = 900 * time.Millisecond
	quotaEnd  = 46 * time.Second
)

// quotaTenants are four tenants with the same allowance, so that several hosts keep their buckets.
var quotaTenants = []Tenant{{"hule930", []string{"3fexd9dnn2ctnfzs989a"}, 1, 60, 30}, {"mapa417", []string{"nu6wsjnbanfqasnmgkcu"}, 1, 60, 30},
	{"soro582", []string{"b7wq2kz9tmxe4hdrp3ua"}, 1, 60, 30}, {"tivi206", []string{"g5cjy8nfas6lvo1ke9xz"}, 1, 60, 30}}

// execution is a request that ran, with the time at which its client sent it.
type execution struct{ sent, ran time.Duration }

// playQuota has tenants send 7.5 times their usual requests while one host at a time crashes again
// and again.
func playQuota(w *World, trouble bool) (bool, error) {
	if err := w.AddHosts(4); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := make(map[string][]execution)
	var clients sync.WaitGroup
	const width = 8
	for _, t := range w.tenants {
		pause := time.Duration(width / (t.Rate * usualShare * hotFactor) * float64(time.Second))
		for range width {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for next := w.record.Since(); next < quotaEnd; next += time.Duration(float64(pause) * (0.5 + rand.Float64())) {
					w.sleepUntil(next)
					hosts := w.Hosts()
					reply := w.clients.Send(Request{Method: http.MethodGet, Path: statusPath, Key: t.Keys[0], Deadline: 1200 * time.Millisecond,
						Host: hosts[rand.IntN(len(hosts))].Frontend})
					for _, run := range w.runs.Of(reply.ID) {
						mu.Lock()
						ran[t.Name] = append(ran[t.Name], execution{reply.SentAt, run.At})
						mu.Unlock()
					}
				}
			}()
		}
	}
	time.Sleep(quotaWindow)
	for _, h := range w.Hosts() {
		for start := w.record.Since(); trouble && w.record.Since() < start+crashTime; {
			h.Signal(syscall.SIGKILL)
			h.waitOrKill(time.Second)
			time.Sleep(100 * time.Millisecond)
			if err := h.Start(); err != nil {
				return false, err
			}
			time.Sleep(upTime)
		}
	}
	clients.Wait()
	broken := false
	for _, t := range w.tenants {
		bound := (t.Rate*quotaWindow.Seconds()+t.Burst)*(1+quotaExcess) + quotaSlack
		most, at := mostInWindow(ran[t.Name])
		w.record.Say("tenant %s: %d requests ran; the most in a window of %v is %d, from %.1f s on; its bound is %.0f", t.Name, len(ran[t.Name]), quotaWindow, most, at.Seconds(), bound)
		broken = broken || float64(most) > bound
	}
	return broken, nil
}

// mostInWindow returns the largest number of requests that were both sent and run in some window,
// and the window's start.
func mostInWindow(list []execution) (most int, at time.Duration) {
	sort.Slice(list, func(i, j int) bool { return list[i].sent < list[j].sent })
	for i, first := range list {
		count := 0
		for _, e := range list[i:] {
			if e.sent > first.sent+quotaWindow {
				break
			}
			if e.ran <= first.sent+quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, first.sent
		}
	}
	return most, at
}
