package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// deniedPrograms is the number of programs, each of which asks for deniedTurns turns one after the other. Its budget
	// is the most that these generate.
	deniedPrograms = 200
	deniedTurns    = 12
	deniedMax      = 7 * tokensPerEvent
	// deniedBefore is the number of turns before the planned stops.
	deniedBefore = 3
	// deniedStops is the number of machines that are stopped and started again, one each deniedGap.
	deniedStops = 2
	deniedGap   = 1300 * time.Millisecond
)

// deniedCase stops and starts the processes of two machines, as planned, while programs that stay within their
// budgets call tools between two turns.
func deniedCase(f *fleet, log *record, trouble bool) (broken bool, err error) {
	d, err := newChat(f, log)
	if err != nil {
		return false, err
	}
	programs := make([]*program, deniedPrograms)
	for n := range programs {
		programs[n] = &program{id: fmt.Sprintf("program-%03d", n), budget: deniedTurns * deniedMax, max: deniedMax}
	}
	all := func(turns int) {
		var wait sync.WaitGroup
		for n, p := range programs {
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				for range turns {
					if !d.next(p) {
						return
					}
				}
			}()
		}
		wait.Wait()
	}
	all(deniedBefore)
	log.printf("each program has ended %d turns", deniedBefore)
	time.Sleep(1500 * time.Millisecond) // settle_ms, and more
	stopped := make(map[string]bool)
	if trouble {
		var restarts sync.WaitGroup
		for n, h := range f.hosts[:deniedStops] {
			stopped[h.name] = true
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				time.Sleep(time.Duration(n) * deniedGap)
				if err := f.restart(h, log); err != nil {
					log.printf("%v", err)
				}
			}()
		}
		restarts.Wait()
	}
	time.Sleep(time.Second)
	log.printf("the programs go on")
	all(deniedTurns - deniedBefore)
	denied := 0
	statuses := make(map[int]int)
	for _, a := range d.answers {
		statuses[a.status]++
		// A program sends a turn when the one before has ended, and turns that have not ended whole count at their most.
		if a.status == 402 && !stopped[a.host] && a.used+deniedMax <= a.budget {
			denied++
		}
	}
	limit := 5 + float64(len(d.answers))/500
	log.printf("%d requests, answers by status (0: none) %v", len(d.answers), statuses)
	log.printf("%d were answered 402 by machines in touch although the budget held one more turn; the rule allows %.1f", denied, limit)
	log.plain("\nrequests: sent, answered, host, program, id, status (0: none), events, tokens used before at the most, budget")
	for _, a := range d.answers {
		log.plain("%8.3f %8.3f %s %s %s %d %d %d %d", log.seconds(a.sent), log.seconds(a.ended), a.host, a.program, a.id, a.status, a.events,
			a.used, a.budget)
	}
	log.plain("\nruns: begun, id, replica")
	for _, r := range d.runs.all() {
		log.plain("%8.3f %s %s", log.seconds(r.at), r.id, r.replica)
	}
	return float64(denied) > limit, nil
}
