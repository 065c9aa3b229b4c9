// Command world runs one case of the review: it starts stand-ins of the platform, the gateway
// processes and clients, and judges what the clients, the replicas and the platform see.
//
// Usage: world CASE RECORD. It exits with 1 if the rule was broken, with 0 if it held, and with 2
// if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime ends a case that hangs.
const maxTime = 117 * time.Second

// A scenario plays one case and reports whether the rule was broken.
type scenario struct {
	tenants []Tenant
	play    func(w *World, trouble bool) (broken bool, err error)
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD")
		return 2
	}
	chosen := scenarios[os.Args[1]]
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Say("%v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	w, err := newWorld(record, dir, chosen.tenants)
	if err != nil {
		record.Say("%v", err)
		return 2
	}
	defer w.Close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := chosen.play(w, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			record.Say("the case could not run: %v", got.err)
			return 2
		case got.broken:
			record.Say("the rule was broken")
			return 1
		}
		record.Say("the rule held")
		return 0
	case <-interrupted:
	case <-time.After(maxTime):
		record.Say("the case takes too long")
	}
	return 2
}
