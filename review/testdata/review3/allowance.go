package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Figures of the case. Rate and burst are those of the largest tenant of frio-retorno, whose allowance in 5 s is
// 3,023 requests with overage and slack.
const (
	allowanceHosts  = 10
	allowanceRate   = 455
	allowanceBurst  = 455
	allowanceWindow = 5 * time.Second
	// usualShare is the part of its rate that a tenant usually asks for (quota_x = 1.6 in the site file), and hotFactor
	// how much more it sends now (hot_tenant, x = 7.5).
	usualShare = 1 / 1.6
	hotFactor  = 7.5
	// slowFactor is how many times as long the store takes for an answer while it is slow (platform_slow, x = 60).
	slowFactor = 60
	// killAfter is the time from the start of the hot tenant to the kill, and restartDelay that until all processes are
	// started again.
	killAfter    = time.Second
	restartDelay = 500 * time.Millisecond
	// hotTime is how long the tenant sends more (hot_tenant, for_s = 6.5).
	hotTime = 6500 * time.Millisecond
	// slowTime is how long the store is slow, from the start of the hot tenant.
	slowTime = 4500 * time.Millisecond
	// retries is how often a client sends a safe request again that was not answered or answered 502, 503 or 504 (the sheet's row
	// for pickup-status), on a new channel. Without Retry-After it waits for retryDelay before.
	retries    = 1
	retryDelay = 300 * time.Millisecond
)

// allowance lets one tenant send many times its usual, while all processes are killed once and the store is slow.
func allowance(record *recorder, trouble bool) (bool, error) {
	p, err := newPlatform(record)
	if err != nil {
		return false, err
	}
	defer p.close()
	log := &runLog{sent: map[string]time.Time{}, status: map[string]int{}}
	for i := range 6 {
		id := fmt.Sprintf("i-%d", i)
		addr, err := p.serve(&quick{id: id, log: log, size: 800, places: places{slots: plainSlots, queue: plainQueue}})
		if err != nil {
			return false, err
		}
		if err := p.announce(id, "retornos-app", addr, plainSlots); err != nil {
			return false, err
		}
	}
	routes := []routeSpec{{"return-chat", "streaming", "asistente-llm", 3 * time.Second},
		{"pickup-status", "safe", "retornos-app", 1200 * time.Millisecond}}
	if err := p.configure(routes, []tenant{{"hot", "key-hot", allowanceRate, allowanceBurst}, {"other", "key-other", 50, 50}}); err != nil {
		return false, err
	}
	traffic := time.Now().Add(leadTime)
	for i := range allowanceHosts {
		if _, err := p.addHost(i); err != nil {
			return false, err
		}
	}
	if !p.awaitReady(20 * time.Second) {
		return false, errors.New("hosts do not get ready")
	}
	time.Sleep(time.Until(traffic))
	start := time.Now()
	record.note("tenant hot sends %.0f requests a second, its allowance is %d a second and %d at once", hotFactor*usualShare*allowanceRate, allowanceRate, allowanceBurst)
	if trouble {
		p.slowStore(slowFactor, slowTime)
		time.AfterFunc(killAfter, func() { p.killAll(restartDelay) })
	}
	c := &channels{idle: make(map[string][]channel)}
	flood(p, c, log, "key-hot", hotFactor*usualShare*allowanceRate, start.Add(hotTime))
	time.Sleep(2 * time.Second)
	log.write(record)
	got, at := log.most(allowanceWindow)
	limit := (allowanceRate*allowanceWindow.Seconds()+allowanceBurst)*1.1 + 20
	record.note("QUOTA: at most %d requests were sent and run in %v, from %.3f s after the start of the hot tenant; allowed are %.0f",
		got, allowanceWindow, at.Sub(start).Seconds(), limit)
	fmt.Printf("%d requests were sent and run in %v, %.0f are allowed\n", got, allowanceWindow, limit)
	return float64(got) > limit, nil
}

// slowStore makes the store slow for a time.
func (p *platform) slowStore(factor int64, length time.Duration) {
	p.storeFactor.Store(factor)
	p.record.note("the store takes %d times as long for an answer", factor)
	time.AfterFunc(length, func() {
		p.storeFactor.Store(1)
		p.record.note("the store takes its usual time for an answer")
	})
}

// killAll kills all processes at once, and starts them again after a delay.
func (p *platform) killAll(delay time.Duration) {
	p.record.note("all processes are killed")
	for _, h := range p.hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(delay)
	for _, h := range p.hosts {
		<-h.exited
		if err := h.writeSettings(false); err != nil {
			p.record.note("%s: %v", h.name, err)
		}
		if err := h.start(); err != nil {
			p.record.note("%s: %v", h.name, err)
		}
	}
	p.record.note("all processes are started again")
}

// flood sends requests of a tenant until the end, each to a random host.
func flood(p *platform, c *channels, log *runLog, key string, perSecond float64, end time.Time) {
	const tick = 10 * time.Millisecond
	due := 0.0
	for next := time.Now(); next.Before(end); next = next.Add(tick) {
		time.Sleep(time.Until(next))
		for due += perSecond * tick.Seconds(); due >= 1; due-- {
			go func() {
				end := time.Now().Add(1200 * time.Millisecond)
				for try := range 1 + retries {
					id := newID()
					addr := p.hosts[rand.IntN(len(p.hosts))].frontend
					status, wait := c.get(addr, "/pickup-status/1", key, id, time.Until(end), try > 0, func() { log.send(id) })
					log.answer(id, status)
					if status != 0 && status < 502 {
						return
					}
					if wait == 0 {
						wait = retryDelay
					}
					if left := time.Until(end); wait > left/3 {
						return
					}
					time.Sleep(wait)
				}
			}()
		}
	}
}

// write writes what was sent, answered and run.
func (l *runLog) write(record *recorder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := make(map[string]time.Time, len(l.runs))
	for _, p := range l.runs {
		ran[p.id] = p.arrived
	}
	ids := make([]string, 0, len(l.sent))
	for id := range l.sent {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return l.sent[a].Compare(l.sent[b]) })
	record.note("requests that ran: sent, run (s); status (0: no answer)")
	refused := 0
	for _, id := range ids {
		at, ok := ran[id]
		if !ok {
			refused++
			continue
		}
		record.note("%.3f %.3f %d", l.sent[id].Sub(record.start).Seconds(), at.Sub(record.start).Seconds(), l.status[id])
	}
	record.note("%d requests were sent, %d of them did not run", len(ids), refused)
}
