package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// deniedTenants is the number of tenants that share the programs, and deniedRate the rate and burst of each, as the
	// settings of frio-retorno show them. The programs begin firstGap apart and go on secondGap apart, below these rates.
	deniedTenants = 4
	deniedRate    = 273
	firstGap      = 5 * time.Millisecond
	secondGap     = 40 * time.Millisecond
	// deniedHosts is the number of machines of frio-retorno.
	deniedHosts = 10
	// deniedPrograms is the number of programs, each of which asks for deniedTurns turns one after the other. Its budget
	// is the most that these generate.
	deniedPrograms = 200
	deniedTurns    = 12
	// deniedBefore is the number of turns before the programs call tools for deniedPause.
	deniedBefore = 3
	deniedPause  = 12 * time.Second
	// deniedKill is the time from the start of the programs to the kill, and settleTime (settle_ms and a little more) the
	// least time from the end of the last turn before it. The case can't run if the turns take longer than deniedLatest.
	deniedKill   = 4200 * time.Millisecond
	settleTime   = 1100 * time.Millisecond
	deniedLatest = 4 * time.Second
)

// denied kills all processes once while programs that stay within their budgets call tools between two turns, and the
// store was slow as the turns before ended.
func denied(record *recorder, trouble bool) (bool, error) {
	p, err := newPlatform(record)
	if err != nil {
		return false, err
	}
	defer p.close()
	log := &runLog{sent: map[string]time.Time{}, status: map[string]int{}}
	for i := range 8 {
		id := fmt.Sprintf("i-%d", i)
		addr, err := p.serve(&engine{id: id, log: log, places: places{slots: engineSlots, queue: engineQueue}})
		if err != nil {
			return false, err
		}
		if err := p.announce(id, "asistente-llm", addr, engineSlots); err != nil {
			return false, err
		}
	}
	var tenants []tenant
	for n := range deniedTenants {
		tenants = append(tenants, tenant{fmt.Sprintf("hule93%d", n), deniedKey(n), deniedRate, deniedRate})
	}
	if err := p.configure([]routeSpec{{"return-chat", "streaming", "asistente-llm", 3 * time.Second}}, tenants); err != nil {
		return false, err
	}
	traffic := time.Now().Add(leadTime)
	for i := range deniedHosts {
		if _, err := p.addHost(i); err != nil {
			return false, err
		}
	}
	if !p.awaitReady(20 * time.Second) {
		return false, errors.New("hosts do not get ready")
	}
	time.Sleep(time.Until(traffic))
	c := newCaller(p, log)
	programs := make([]*program, deniedPrograms)
	for n := range programs {
		programs[n] = &program{id: fmt.Sprintf("program-%03d", n), key: deniedKey(n % deniedTenants), budget: deniedTurns * turnTokens}
	}
	all := func(turns int, gap time.Duration) {
		var wait sync.WaitGroup
		for n, g := range programs {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(n) * gap)
				for range turns {
					if !c.next(g) {
						return
					}
				}
			}()
		}
		wait.Wait()
	}
	start := time.Now()
	if trouble {
		p.slowStore(slowFactor, slowTime)
	}
	all(deniedBefore, firstGap)
	record.note("each program has ended %d turns, %v after the start", deniedBefore, time.Since(start).Round(time.Millisecond))
	pause := time.Now()
	if trouble {
		if time.Since(start) > deniedLatest {
			return false, errors.New("the turns before the pause took too long")
		}
		time.Sleep(max(time.Until(start.Add(deniedKill)), time.Until(pause.Add(settleTime))))
		p.killAll(restartDelay)
	}
	time.Sleep(time.Until(pause.Add(deniedPause)))
	record.note("the programs go on")
	all(deniedTurns-deniedBefore, secondGap)
	return c.judgeDenied(record), nil
}

// deniedKey returns the key of a tenant.
func deniedKey(n int) string { return fmt.Sprintf("key-hule93%d", n) }

// judgeDenied writes the calls. It reports whether more turns were denied than the rule DENIED allows.
func (c *caller) judgeDenied(record *recorder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, statuses := 0, make(map[int]int)
	for _, a := range c.answers {
		statuses[a.status]++
		// Turns that have not ended whole count at their most.
		if a.status == 402 && a.used+turnTokens <= a.budget {
			count++
		}
	}
	limit := 5 + float64(len(c.answers))/500
	for _, a := range c.answers {
		record.note("sent %.3f answered %.3f host %s program %s id %s status %d events %d used before at the most %d budget %d", a.sent.Sub(record.start).Seconds(),
			a.ended.Sub(record.start).Seconds(), a.host, a.program, a.id, a.status, a.events, a.used, a.budget)
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	for _, r := range c.log.runs {
		record.note("run %.3f id %s", r.arrived.Sub(record.start).Seconds(), r.id)
	}
	record.note("DENIED: %d requests, answers by status (0: none) %v; %d were answered 402 although the budget held one more turn; allowed are %.1f",
		len(c.answers), statuses, count, limit)
	fmt.Printf("%d requests, %v; %d answered 402 although the budget held one more turn, %.1f are allowed\n", len(c.answers), statuses, count, limit)
	return float64(count) > limit
}
