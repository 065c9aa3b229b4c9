package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run. Times are seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// printf adds a line with the time.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// plain adds a line without the time.
func (r *record) plain(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, format+"\n", args...)
}
