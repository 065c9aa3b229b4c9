package fleettest

import (
	"context"
	"sync"
	"testing"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// Log is a log service in memory whose faults tests control.
type Log struct {
	mu      sync.Mutex
	streams map[string][]logservice.Record
	first   map[string]structs.Offset
	changed chan struct{}
	down    bool
	cut     map[structs.HostID]bool
	lose    map[structs.HostID]int
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		streams: make(map[string][]logservice.Record),
		first:   make(map[string]structs.Offset),
		changed: make(chan struct{}),
		cut:     make(map[structs.HostID]bool),
		lose:    make(map[structs.HostID]int),
	}
}

// SetDown starts or ends an outage.
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

// LoseAnswers makes the answers to the next appends of a host get lost after the
// append took effect.
func (l *Log) LoseAnswers(host structs.HostID, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose[host] = count
}

// Trim drops the records of a stream before first.
func (l *Log) Trim(stream string, first structs.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first[stream] = first
}

// Records returns all records of a stream since the last trim.
func (l *Log) Records(stream string) []logservice.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keptLocked(stream)
}

// Append adds a record to a stream, as an operator's edit does.
func (f *Fleet) Append(t testing.TB, stream, id string) {
	t.Helper()
	if _, err := f.Log.append("", stream, id, nil); err != nil {
		t.Fatal(err)
	}
}

func (l *Log) keptLocked(stream string) []logservice.Record {
	records := l.streams[stream]
	if first := l.first[stream]; first > 1 {
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
	if l.lose[host] > 0 {
		l.lose[host]--
		return 0, logservice.ErrUnavailable
	}
	return offset, nil
}

// awaitChange waits until the log's content or faults change, ctx ends or the time
// is over. Hosts that wait out an outage set few timers this way.
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

// read returns the records after the offset and waits up to a second for one.
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
