package fleet

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/structs"
)

const (
	// heartbeatTimeout bounds one Fleet.Heartbeat or Fleet.Records call.
	heartbeatTimeout = 2 * time.Second
	// pullAfter is the age of the last complete read of a stream after which this host
	// requests records from peers. An idle read of the log takes about a second.
	pullAfter = 2 * time.Second
	// maxRecordsPerReply bounds the number of records in one Fleet.Records reply.
	maxRecordsPerReply = 256
)

// sendHeartbeats sends a heartbeat to every watcher once per HeartbeatInterval until ctx
// is done. The sends are spread over the interval, so that gossip takes less than
// one interval per hop.
func (m *Member) sendHeartbeats(ctx context.Context) {
	var done sync.WaitGroup
	defer done.Wait()
	busy := newBusySet()
	for ctx.Err() == nil {
		start := time.Now()
		watchers := m.watchers()
		for i, watcher := range watchers {
			if busy.tryAdd(watcher.ID) {
				done.Go(func() {
					defer busy.remove(watcher.ID)
					m.sendHeartbeat(ctx, watcher)
				})
			}
			sleepUntil(ctx, start.Add(HeartbeatInterval*time.Duration(i+1)/time.Duration(len(watchers))))
		}
		sleepUntil(ctx, start.Add(HeartbeatInterval))
	}
}

func sleepUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (m *Member) watchers() []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Host(nil), m.watch.watchers...)
}

// sendHeartbeat sends one heartbeat, and pulls records if the watcher has newer ones.
func (m *Member) sendHeartbeat(ctx context.Context, watcher Host) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	beat := m.newHeartbeat(watcher.ID, time.Now())
	var reply HeartbeatReply
	if err := m.config.Caller.Call(callCtx, watcher.ControlAddress, "Fleet.Heartbeat", beat, &reply); err != nil {
		return
	}
	m.mu.Lock()
	m.echoes[watcher.ID] = echo{stamp: reply.Stamp, at: time.Now()}
	m.mu.Unlock()
	m.pull(ctx, watcher, reply.Offsets)
}

// newHeartbeat returns the heartbeat message for the given host.
func (m *Member) newHeartbeat(to structs.HostID, now time.Time) *Heartbeat {
	offsets := m.offsets()
	freshness := m.Freshness(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.View()
	beat := &Heartbeat{
		From:        m.config.Self.ID,
		Incarnation: m.incarnation,
		View:        view.Number,
		Offsets:     offsets,
		Known:       freshness.RecordAge().Round(time.Millisecond),
		LogDown:     freshness.ReadAge > FreshnessLimit,
		Ages:        make([]byte, len(view.Hosts)),
		Down:        make([]byte, (len(view.Hosts)+7)/8),
	}
	for i, host := range view.Hosts {
		if host.ID == m.config.Self.ID {
			continue
		}
		age, down := m.gossip.age(host, now)
		beat.Ages[i] = encodeAge(age)
		if down {
			setBit(beat.Down, i)
		}
	}
	if last, found := m.echoes[to]; found {
		beat.Echo = last.stamp
		beat.Hold = now.Sub(last.at)
	}
	return beat
}

// offsets returns this host's last offset of each stream.
func (m *Member) offsets() map[string]structs.Offset {
	offsets := make(map[string]structs.Offset, len(m.sources))
	for stream, source := range m.sources {
		offsets[stream] = source.Offset()
	}
	return offsets
}

// stamp returns this host's monotonic clock for HeartbeatReply.Stamp. It is never 0,
// since an Echo of 0 means that there was no reply yet.
func (m *Member) stamp(now time.Time) int64 {
	return int64(now.Sub(m.started)) + 1
}

// receive processes a heartbeat and returns the reply. It ignores the contents if the
// sender's incarnation is not in the view.
func (m *Member) receive(beat *Heartbeat) HeartbeatReply {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if host, found := m.View().Find(beat.From); found && host.Incarnation == beat.Incarnation {
		m.gossip.receive(beat, now, m.sentAt(beat, now), m.viewLocked(beat.View))
	}
	return HeartbeatReply{Stamp: m.stamp(now), Offsets: m.offsets()}
}

// sentAt returns the earliest time at which the heartbeat can have been sent, or the
// zero time if the heartbeat carries no valid echo.
func (m *Member) sentAt(beat *Heartbeat, now time.Time) time.Time {
	if beat.Echo <= 0 || beat.Hold < 0 {
		return time.Time{}
	}
	sent := m.started.Add(time.Duration(beat.Echo-1) + beat.Hold)
	if sent.After(now) {
		return now
	}
	return sent
}

// viewLocked returns the retained view with the given number, or nil.
func (m *Member) viewLocked(number structs.ViewNumber) *View {
	for i := len(m.views) - 1; i >= 0; i-- {
		if m.views[i].Number == number {
			return m.views[i]
		}
	}
	return nil
}

// pull fetches the records that this host lacks from a peer with the given offsets. It
// skips streams that this host still reads from the log itself.
func (m *Member) pull(ctx context.Context, peer Host, offsets map[string]structs.Offset) {
	for stream, offset := range offsets {
		source := m.sources[stream]
		if source == nil || !m.startPull(stream, source) {
			continue
		}
		m.pullStream(ctx, peer, stream, source, offset)
		m.mu.Lock()
		delete(m.pulling, stream)
		m.mu.Unlock()
	}
}

// startPull reports whether the caller should pull the stream, and if so marks it as
// being pulled. It returns false if the last complete read is recent or another pull of
// the stream is running.
func (m *Member) startPull(stream string, source Source) bool {
	if age, _ := source.Age(); age <= pullAfter {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pulling[stream] {
		return false
	}
	m.pulling[stream] = true
	return true
}

// pullStream fetches records of one stream from a peer up to the given offset. It stops
// at the first call that fails or yields no new records.
func (m *Member) pullStream(ctx context.Context, peer Host, stream string, source Source, upTo structs.Offset) {
	for source.Offset() < upTo && ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		var reply RecordsReply
		request := RecordsRequest{Stream: stream, After: source.Offset()}
		err := m.config.Caller.Call(callCtx, peer.ControlAddress, "Fleet.Records", request, &reply)
		cancel()
		if err != nil || len(reply.Records) == 0 || source.Offer(reply.Records) == 0 {
			return
		}
	}
}
