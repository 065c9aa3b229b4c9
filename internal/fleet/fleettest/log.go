package fleettest

import (
	"context"
	"sync"
	"testing"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// Log is an in-memory log service with fault injection.
type Log struct {
	mu          sync.Mutex
	streams     map[string][]logservice.Record
	firstKept   map[string]structs.Offset
	changed     chan struct{}
	down        bool
	cut         map[structs.HostID]bool
	lostAnswers map[structs.HostID]int
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		streams:     make(map[string][]logservice.Record),
		firstKept:   make(map[string]structs.Offset),
		changed:     make(chan struct{}),
		cut:         make(map[structs.HostID]bool),
		lostAnswers: make(map[structs.HostID]int),
	}
}

// SetDown starts or ends an outage for all hosts.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wakeLocked()
}

// SetCut cuts one host off from the log or restores it.
func (l *Log) SetCut(host structs.HostID, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[host] = cut
	l.wakeLocked()
}

// LoseAnswers drops the answers to the next count appends of a host. The appends take
// effect, but the host sees them fail.
func (l *Log) LoseAnswers(host structs.HostID, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostAnswers[host] = count
}

// Trim removes the records of a stream before the offset first.
func (l *Log) Trim(stream string, first structs.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstKept[stream] = first
}

// Records returns the records of a stream that were not trimmed.
func (l *Log) Records(stream string) []logservice.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keptLocked(stream)
}

// Append appends a record without data to a stream, as an operator's edit does. Faults of
// single hosts do not affect it.
func (f *Fleet) Append(t testing.TB, stream, id string) {
	t.Helper()
	if _, err := f.Log.append("", stream, id, nil); err != nil {
		t.Fatal(err)
	}
}

func (l *Log) keptLocked(stream string) []logservice.Record {
	records := l.streams[stream]
	if first := l.firstKept[stream]; first > 1 {
		records = records[min(int(first-1), len(records)):]
	}
	return records
}

func (l *Log) wakeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) append(host structs.HostID, stream, id string, data []byte) (structs.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.cut[host] {
		return 0, logservice.ErrUnavailable
	}
	offset := structs.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], logservice.Record{Offset: offset, ID: id, Data: data})
	l.wakeLocked()
	if l.lostAnswers[host] > 0 {
		l.lostAnswers[host]--
		return 0, logservice.ErrUnavailable
	}
	return offset, nil
}

// awaitChange waits until the contents or faults of the log change, ctx is done or
// limit has passed. This lets hosts wait out an outage with few timers.
func (l *Log) awaitChange(ctx context.Context, limit time.Duration) {
	l.mu.Lock()
	changed := l.changed
	l.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// read returns the records after the given offset. If there are none, it waits up to one
// second for one.
func (l *Log) read(ctx context.Context, host structs.HostID, stream string, after structs.Offset) (logservice.Batch, error) {
	deadline := time.Now().Add(time.Second)
	for {
		l.mu.Lock()
		changed := l.changed
		refused := l.down || l.cut[host]
		kept := l.keptLocked(stream)
		end := structs.Offset(len(l.streams[stream]))
		l.mu.Unlock()
		if refused {
			return logservice.Batch{}, logservice.ErrUnavailable
		}
		first := end + 1
		if len(kept) > 0 {
			first = kept[0].Offset
		}
		if after+1 < first {
			return logservice.Batch{First: first, End: end}, logservice.ErrTrimmed
		}
		if end > after || !time.Now().Before(deadline) {
			return logservice.Batch{First: first, End: end, Records: kept[after+1-first:]}, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
			timer.Stop()
			return logservice.Batch{}, logservice.ErrUnavailable
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
