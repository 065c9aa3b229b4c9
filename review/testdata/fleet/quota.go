package main

import (
	"fmt"
	"sort"
	"time"
)

// Limits of the tenant in the case, as the pages write them, and the bounds of the rule.
const (
	quotaRate    = 200
	quotaBurst   = 200
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// quotaPress is what the tenant sends: the pages let one send 7.5 times its usual, and its limit is 1.6 times
	// the usual.
	quotaPress = 800
	// quotaPressTime is how long it does so: for_s of that disruption.
	quotaPressTime = 6500 * time.Millisecond
)

// quotaTenant is the tenant that presses. Its bucket and both copies of the bucket's use are on the machines of the
// first zone: the hosts choose them by a hash of the tenant's name and the hosts' names.
const (
	quotaTenant = "clinic063"
	quotaKey    = "3fexd9dnn2ctnfzs989a"
)

// quotaLoss lets a tenant press beyond its limit while the machines of one zone lose power at once.
func quotaLoss(f *fleet, log *record, trouble bool) (broken bool, err error) {
	return quotaCase(f, log, trouble, loseZone)
}

// quotaCase lets a tenant press beyond its limit during a disruption.
func quotaCase(f *fleet, log *record, trouble bool, disturb func(f *fleet, log *record)) (broken bool, err error) {
	ran := &runs{}
	for n := range 6 {
		r := &replica{id: fmt.Sprintf("i-app%d", n), service: "returns-app", slots: 6, work: 10 * time.Millisecond, runs: ran}
		addr, err := f.serve(r)
		if err != nil {
			return false, err
		}
		if err := f.announce(r, addr, zones[n%len(zones)].name, "ready"); err != nil {
			return false, err
		}
	}
	if err := f.putConfig(map[string]any{
		"routes": []any{map[string]any{"name": "r-credit", "host": entryHost, "path_prefix": "/credit/", "kind": "unsafe", "timeout_ms": 1500,
			"target_latency_ms": 200, "priority": 2, "service": "returns-app", "max_attempts": 1, "public": false}},
		"services": []any{map[string]any{"name": "returns-app", "health_path": "/health", "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": quotaTenant, "api_keys": []string{quotaKey}, "priority": 1,
			"rate_per_s": quotaRate, "burst": quotaBurst}},
	}); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	c := newCallers(f, quotaKey, "POST", "/credit/2f", 1500*time.Millisecond)
	log.printf("the tenant sends %d requests a second", quotaPress)
	if trouble {
		go disturb(f, log)
	}
	c.press(quotaPress, quotaPressTime)
	c.wait.Wait()
	return judgeQuota(log, c.list, ran.all()), nil
}

// loseZone cuts the power of the machines of the first zone a second after the tenant begins to press. They start
// again after restartDelay.
func loseZone(f *fleet, log *record) {
	time.Sleep(time.Second)
	lost := f.hosts[:zones[0].machines]
	for _, h := range lost {
		go h.kill()
		log.printf("%s loses power", h.name)
	}
	time.Sleep(restartDelay)
	for _, h := range lost {
		log.printf("%s starts again", h.name)
		if err := f.start(h); err != nil {
			log.printf("%v", err)
		}
	}
}

// judgeQuota checks the rule on requests that were both sent and run within a window.
func judgeQuota(log *record, sent []exchange, ran []run) (broken bool) {
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	byID := make(map[string]exchange, len(sent))
	for _, x := range sent {
		byID[x.id] = x
	}
	sort.Slice(ran, func(a, b int) bool { return ran[a].at.Before(ran[b].at) })
	worst, worstEnd := 0, 0
	for last := range ran {
		from := ran[last].at.Add(-quotaWindow)
		count := 0
		for n := last; n >= 0 && !ran[n].at.Before(from); n-- {
			if !byID[ran[n].id].sent.Before(from) {
				count++
			}
		}
		if count > worst {
			worst, worstEnd = count, last
		}
	}
	statuses := make(map[int]int)
	perTenth := make(map[int]int)
	for _, x := range sent {
		statuses[x.status]++
	}
	for _, r := range ran {
		perTenth[int(10*log.seconds(r.at))]++
	}
	log.printf("sent %d, run %d, answers by status (0: none) %v", len(sent), len(ran), statuses)
	if len(ran) > 0 {
		end := ran[worstEnd].at
		log.printf("most in a window of %v: %d from %.3f to %.3f; the limit is (%d x 5 + %d) x 1.1 + %d = %.0f", quotaWindow, worst,
			log.seconds(end)-quotaWindow.Seconds(), log.seconds(end), quotaRate, quotaBurst, quotaSlack, limit)
	}
	log.plain("\nrequests run in each tenth of a second")
	tenths := make([]int, 0, len(perTenth))
	for t := range perTenth {
		tenths = append(tenths, t)
	}
	sort.Ints(tenths)
	for _, t := range tenths {
		log.plain("%8.1f %d", float64(t)/10, perTenth[t])
	}
	log.plain("\nrequests: sent, answered, host, id, status (0: none), run")
	ranAt := make(map[string]string)
	for _, r := range ran {
		ranAt[r.id] = fmt.Sprintf("%.3f at %s", log.seconds(r.at), r.replica)
	}
	for _, x := range sent {
		log.plain("%8.3f %8.3f %s %s %d %s %s", log.seconds(x.sent), log.seconds(x.ended), x.host, x.id, x.status, ranAt[x.id], x.err)
	}
	return float64(worst) > limit
}
