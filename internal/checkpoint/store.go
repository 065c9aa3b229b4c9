package checkpoint

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/structs"
)

const (
	// DefaultInterval is the time between two rounds of checkpoints.
	DefaultInterval = 10 * time.Second
	// repeatsPerRetention is how often an unchanged checkpoint is appended again in the
	// log's retention time.
	repeatsPerRetention = 4
	// restoreWait bounds the wait for the log while partitions are restored, over all of
	// them. They are not served meanwhile.
	restoreWait = 30 * time.Second
	// freshAge is how old the last read of the stream may be. An owner is dead for longer
	// before it is evicted, so that the read has all that it appended.
	freshAge = fleet.SuspectAfter
	// burstPause is the time without a restore after which the next one starts a new wait.
	burstPause = 5 * time.Second
	// restorePause is the time between two tries to read a checkpoint.
	restorePause = 100 * time.Millisecond
	// followBatch and followKeep bound the records that are held in memory at once:
	// 16 records of 512 KiB in one read, and none for peers.
	followBatch = 16
	followKeep  = 1
)

// ErrNotFound means that the log has no checkpoint of the partition.
var ErrNotFound = errors.New("no checkpoint of the partition")

// Owned gives the partitions that this host serves as their owner.
type Owned interface {
	// VisitBases calls the function under each partition's lock.
	VisitBases(func(partition.ID, partition.Base, partition.Machine))
	// CopyOf returns one partition's state; false when this host does not own it.
	CopyOf(partition.ID) (partition.Base, []byte, bool)
}

// Appender appends records to the log.
type Appender interface {
	Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error)
}

// Options set up a Store. All fields but Interval are required.
type Options struct {
	Log      logservice.Log
	Appender Appender
	Owned    Owned
	// Empty reports whether a state holds nothing that needs a checkpoint.
	Empty func(partition.Machine) bool
	// Share returns how many appends a second this host may make for checkpoints.
	Share func() float64
	// Interval is the time between two rounds; 0 means DefaultInterval.
	Interval time.Duration
	// Retention is how long the log keeps records at the least.
	Retention time.Duration
	Logger    *event.Logger
}

// Store writes and restores checkpoints.
type Store struct {
	options  Options
	index    *index
	follower *logservice.Follower
	// written is used by the writer only.
	written map[partition.ID]written
	// excess is by how many appends the last round exceeded its share.
	excess  int
	appends atomic.Int64
	bytes   atomic.Int64

	mu sync.Mutex
	// burst is when the first of the restores that follow on each other began, and last
	// when the newest one looked.
	burst, last time.Time
	// failingSince is when the log first failed in these.
	failingSince time.Time
	// cached are the entries of the record that was read last.
	cachedAt structs.Offset
	cached   []entry
}

// New returns a store. Run starts it.
func New(options Options) *Store {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	s := &Store{options: options, index: newIndex(options.Logger), written: make(map[partition.ID]written)}
	s.follower = logservice.NewFollower(options.Log, Stream, s.index, options.Logger,
		logservice.FollowerOptions{Batch: followBatch, Keep: followKeep})
	return s
}

// Run follows the stream and writes checkpoints until ctx ends.
func (s *Store) Run(ctx context.Context) {
	var following sync.WaitGroup
	following.Go(func() { s.follower.Run(ctx) })
	defer following.Wait()
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.write(ctx)
		}
	}
}

// Written returns how many records and bytes this host has appended.
func (s *Store) Written() (appends, bytes int64) {
	return s.appends.Load(), s.bytes.Load()
}

// Restore returns the newest checkpoint of a partition if it is newer than base. It
// waits until this host has read the stream to its end, and for a log that fails, for
// up to 30 s in a row. ErrNotFound: the log has none that is newer.
func (s *Store) Restore(id partition.ID, base partition.Base) (partition.Base, []byte, error) {
	for {
		found, state, err := s.tryRestore(id, base)
		if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, logservice.ErrTrimmed) || s.waitedEnough() {
			return found, state, err
		}
		time.Sleep(restorePause)
	}
}

func (s *Store) tryRestore(id partition.ID, base partition.Base) (partition.Base, []byte, error) {
	if age, ok := s.follower.Age(); !ok || age > max(freshAge, s.inBurst()) {
		return partition.Base{}, nil, fmt.Errorf("stream %s was not read to its end: %w", Stream, logservice.ErrUnavailable)
	}
	found, ok := s.index.find(id)
	if !ok || !base.Before(found.base) {
		s.noteAnswer()
		return partition.Base{}, nil, ErrNotFound
	}
	var state []byte
	for piece, offset := range found.offsets {
		part, err := s.read(id, found.base, piece, offset)
		if err != nil {
			return partition.Base{}, nil, err
		}
		state = append(state, part...)
	}
	s.noteAnswer()
	return found.base, state, nil
}

// read returns one piece of a checkpoint.
func (s *Store) read(id partition.ID, base partition.Base, piece int, offset structs.Offset) ([]byte, error) {
	entries, err := s.record(offset)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if e.Partition == id && e.Base == base && e.Piece == piece {
			return e.State, nil
		}
	}
	return nil, fmt.Errorf("record at offset %d: %w", offset, ErrNotFound)
}

// record returns the entries of the record at an offset. Partitions that are restored
// one after the other are often in the same one.
func (s *Store) record(offset structs.Offset) ([]entry, error) {
	s.mu.Lock()
	cachedAt, cached := s.cachedAt, s.cached
	s.mu.Unlock()
	if cachedAt == offset {
		return cached, nil
	}
	batch, err := s.options.Log.Read(context.Background(), Stream, offset-1, 1, 0)
	if err != nil {
		return nil, err
	}
	if len(batch.Records) == 0 {
		return nil, fmt.Errorf("no record at offset %d: %w", offset, logservice.ErrUnavailable)
	}
	entries, err := decode(batch.Records[0].Data)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cachedAt, s.cached = offset, entries
	return entries, nil
}

// inBurst returns how long restores have followed on each other.
func (s *Store) inBurst() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.last) > burstPause {
		s.burst = now
		s.cachedAt, s.cached = 0, nil
	}
	s.last = now
	return now.Sub(s.burst)
}

func (s *Store) noteAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingSince = time.Time{}
}

// waitedEnough reports whether the log has failed for too long. The partitions that are
// restored one after the other share the time.
func (s *Store) waitedEnough() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = time.Now()
	}
	return time.Since(s.failingSince) > restoreWait
}
