package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// fullHosts is the number of hosts, and fullClients the number of clients that run programs.
	fullHosts   = 10
	fullClients = 40
	// longestBody is the longest input of a turn on the site; usualBody is the mean.
	longestBody = 26_000
	// fullTurns is the number of turns of a program, and thinkTime the mean pause between two turns.
	fullTurns = 4
	thinkTime = 100 * time.Millisecond
	fullEnd   = 100 * time.Second
)

// playFull lets programs run for as long as the store takes to fill up.
func playFull(w *World, trouble bool) (bool, error) {
	if err := w.AddHosts(fullHosts); err != nil {
		return false, err
	}
	size := usualBody
	if trouble {
		size = longestBody
	}
	var mu sync.Mutex
	var replies []Reply
	var clients sync.WaitGroup
	for c := range fullClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			tenant := w.tenants[c%2]
			for n := 0; w.record.Since() < fullEnd; n++ {
				p := &agentProgram{id: fmt.Sprintf("p%d-%d", c, n), tenant: tenant.Name, key: tenant.Keys[0]}
				for range fullTurns {
					got := w.tries(p, input(size), 3, fullEnd)
					mu.Lock()
					replies = append(replies, got...)
					mu.Unlock()
					if len(got) == 0 || !got[len(got)-1].Whole() {
						break
					}
					time.Sleep(time.Duration(float64(thinkTime) * 2 * rand.Float64()))
				}
			}
		}()
	}
	go func() {
		for w.record.Since() < fullEnd {
			time.Sleep(10 * time.Second)
			stored, refused := w.store.Stored()
			w.record.Say("the store holds %d MB; %d appends were refused because it is full", stored/1_000_000, refused)
		}
	}()
	clients.Wait()
	w.record.Say("the store was called for %d writes in a second at most (writes_per_s 800)", w.store.MostWrites())
	return w.judgeFull(replies), nil
}

// judgeFull counts the turns that were passed on and not answered.
func (w *World) judgeFull(replies []Reply) bool {
	closed := make(map[string]int)
	whole, wholeLate := 0, 0
	for _, r := range replies {
		if r.Whole() {
			whole++
			if r.SentAt > fullEnd-10*time.Second {
				wholeLate++
			}
		}
		if r.Kept && !r.Complete && len(w.runs.Of(r.ID)) > 0 {
			closed[r.Addr]++
		}
	}
	early := 0
	for _, r := range replies {
		if r.SentAt < 40*time.Second {
			early++
		}
	}
	w.record.Say("%d turns were sent, in the first 40 s %.0f a second; %d were answered whole, of those sent in the last 10 s %d", len(replies), float64(early)/37, whole, wholeLate)
	broken := false
	for addr, count := range closed {
		w.record.Say("host %s passed %d turns from kept channels on to sound replicas and closed the channels without a whole answer", addr, count)
		broken = broken || count > 3
	}
	return broken
}
