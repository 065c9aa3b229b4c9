package main

import (
	"syscall"
	"time"
)

const (
	// freezeTime is how long a machine stands still, and freezeAfter how long after the tenant has begun to press.
	freezeTime  = 4 * time.Second
	freezeAfter = 1000 * time.Millisecond
)

// freezeCase lets a tenant press beyond its limit while the machine that owns its bucket stands still.
func freezeCase(f *fleet, log *record, trouble bool) (broken bool, err error) {
	return quotaCase(f, log, trouble, func(f *fleet, log *record) {
		h := f.hosts[zones[0].machines-1]
		time.Sleep(freezeAfter)
		h.signal(syscall.SIGSTOP)
		log.printf("%s stands still", h.name)
		time.Sleep(freezeTime)
		h.signal(syscall.SIGCONT)
		log.printf("%s goes on", h.name)
	})
}
