package fleet

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/structs"
)

const (
	// heartbeatTimeout bounds one heartbeat call.
	heartbeatTimeout = 2 * time.Second
	// pullAfter is the age of the last read of a stream after which this host asks
	// peers for records. An idle read of the log takes about a second.
	pullAfter = 2 * time.Second
	// recordsLimit is how many records one Fleet.Records answer holds.
	recordsLimit = 256
)

// heartbeats sends a heartbeat to every watcher each second. The sends are spread
// over the second, so that news pass through the fleet in less than one period per
// hop.
func (m *Member) heartbeats(ctx context.Context) {
	var done sync.WaitGroup
	defer done.Wait()
	busy := newBusySet()
	for ctx.Err() == nil {
		start := time.Now()
		watchers := m.watchers()
		for i, watcher := range watchers {
			if busy.enter(watcher.ID) {
				done.Go(func() {
					defer busy.leave(watcher.ID)
					m.beat(ctx, watcher)
				})
			}
			pauseUntil(ctx, start.Add(HeartbeatEvery*time.Duration(i+1)/time.Duration(len(watchers))))
		}
		pauseUntil(ctx, start.Add(HeartbeatEvery))
	}
}

func pauseUntil(ctx context.Context, until time.Time) {
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

// beat sends one heartbeat and pulls records when the watcher has more.
func (m *Member) beat(ctx context.Context, watcher Host) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	beat := m.heartbeat(watcher.ID, time.Now())
	var reply HeartbeatReply
	if err := m.config.Caller.Call(callCtx, watcher.ControlAddress, "Fleet.Heartbeat", beat, &reply); err != nil {
		return
	}
	m.mu.Lock()
	m.echoes[watcher.ID] = echo{stamp: reply.Stamp, at: time.Now()}
	m.mu.Unlock()
	m.pull(ctx, watcher, reply.Offsets)
}

// heartbeat returns the message for a watcher.
func (m *Member) heartbeat(to structs.HostID, now time.Time) *Heartbeat {
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
		Known:       freshness.Known().Round(time.Millisecond),
		LogDown:     freshness.Read > FreshFor,
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

// offsets returns what this host has of each stream.
func (m *Member) offsets() map[string]structs.Offset {
	offsets := make(map[string]structs.Offset, len(m.sources))
	for stream, source := range m.sources {
		offsets[stream] = source.Offset()
	}
	return offsets
}

// stamp is this host's clock for HeartbeatReply.Stamp. It is never 0.
func (m *Member) stamp(now time.Time) int64 {
	return int64(now.Sub(m.started)) + 1
}

// receive takes in a heartbeat.
func (m *Member) receive(beat *Heartbeat) HeartbeatReply {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if host, found := m.View().Find(beat.From); found && host.Incarnation == beat.Incarnation {
		m.gossip.receive(beat, now, m.sentAt(beat, now), m.viewLocked(beat.View))
	}
	return HeartbeatReply{Stamp: m.stamp(now), Offsets: m.offsets()}
}

// sentAt returns the earliest time at which the heartbeat can have been sent, or
// the zero time when that is not known.
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

// viewLocked returns a recent view by number, or nil.
func (m *Member) viewLocked(number structs.ViewNumber) *View {
	for i := len(m.views) - 1; i >= 0; i-- {
		if m.views[i].Number == number {
			return m.views[i]
		}
	}
	return nil
}

// pull fetches the records that a peer has and this host lacks, if this host does
// not get them from the log itself.
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
