package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// Record writes one line for each event of a case: what was sent, answered and run.
type Record struct {
	start time.Time

	mu   sync.Mutex
	out  *bufio.Writer
	file *os.File
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), out: bufio.NewWriter(file), file: file}, nil
}

// Since returns the time since the start of the case.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Log writes one line with the time in seconds, the kind of event and its fields.
func (r *Record) Log(kind string, fields map[string]any) {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f %-8s", r.Since().Seconds(), kind)
	for _, name := range names {
		fmt.Fprintf(&line, " %s=%v", name, fields[name])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.out, line.String())
}

// Say writes a line of text to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f note     %s\n", r.Since().Seconds(), text)
	fmt.Printf("%8.3f %s\n", r.Since().Seconds(), text)
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
