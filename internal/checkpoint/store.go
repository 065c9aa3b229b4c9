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
	// DefaultInterval is the default time between two checkpoint rounds.
	DefaultInterval = 10 * time.Second
	// repeatsPerRetention is how many times an unchanged checkpoint is appended again
	// within the log's retention time.
	repeatsPerRetention = 4
	// restoreTimeout bounds how long restores wait for a failing log, over all
	// partitions together. The partitions are not served meanwhile.
	restoreTimeout = 30 * time.Second
	// maxStreamAge is the maximum age of the last read of the stream for a restore. A
	// dead owner is evicted only after this time, so the read includes everything that
	// it appended.
	maxStreamAge = fleet.SuspicionTimeout
	// burstGap is the time without a restore after which the next one starts a new
	// burst. Within a burst, a read of the stream since its start is recent enough even
	// if it is older than maxStreamAge.
	burstGap = 5 * time.Second
	// restoreRetryDelay is the delay between two attempts to read a checkpoint.
	restoreRetryDelay = 100 * time.Millisecond
	// followBatch and followCachedRecords limit the records held in memory at once: 16
	// records of 512 KiB per read, and practically none cached for peers.
	followBatch         = 16
	followCachedRecords = 1
)

// ErrNotFound means that the log has no checkpoint of the partition, or none that is
// newer than the given base.
var ErrNotFound = errors.New("no checkpoint of the partition")

// Owned provides the partitions that this host serves as owner.
type Owned interface {
	// VisitBases calls the function under each partition's lock.
	VisitBases(func(partition.ID, partition.Base, partition.StateMachine))
	// CopyOf returns one partition's state. It returns false if this host does not own
	// the partition.
	CopyOf(partition.ID) (partition.Base, []byte, bool)
}

// Appender appends records to the log.
type Appender interface {
	Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error)
}

// Options configure a Store. All fields except Interval are required.
type Options struct {
	Log      logservice.Log
	Appender Appender
	Owned    Owned
	// Empty reports whether a state is empty and therefore needs no checkpoint.
	Empty func(partition.StateMachine) bool
	// AppendRate returns how many appends per second this host may make for checkpoints.
	AppendRate func() float64
	// Interval is the time between two rounds; 0 means DefaultInterval.
	Interval time.Duration
	// Retention is the minimum time for which the log keeps records.
	Retention time.Duration
	Logger    *event.Logger
}

// Store writes and restores checkpoints.
type Store struct {
	options  Options
	index    *index
	follower *logservice.Follower
	// lastWritten is used only by the writer.
	lastWritten map[partition.ID]writtenCheckpoint
	// excessAppends is the number of appends by which the last round exceeded its
	// limit.
	excessAppends int
	appends       atomic.Int64
	bytes         atomic.Int64

	mu sync.Mutex
	// burstStart is the time of the first restore attempt in the current burst, and
	// lastRestore that of the most recent attempt.
	burstStart, lastRestore time.Time
	// failingSince is when the log first failed since a restore last got a result.
	failingSince time.Time
	// cached holds the entries of the most recently read record, at offset cachedAt.
	cachedAt structs.Offset
	cached   []entry
}

// New returns a store. Call Run to start it.
func New(options Options) *Store {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	s := &Store{options: options, index: newIndex(options.Logger), lastWritten: make(map[partition.ID]writtenCheckpoint)}
	s.follower = logservice.NewFollower(options.Log, Stream, s.index, options.Logger,
		logservice.FollowerOptions{Batch: followBatch, CachedRecords: followCachedRecords})
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
			s.writeDue(ctx)
		}
	}
}

// Written returns how many records and bytes this host has appended.
func (s *Store) Written() (appends, bytes int64) {
	return s.appends.Load(), s.bytes.Load()
}

// Restore returns the newest checkpoint of a partition if it is newer than base. It
// waits until this host has read the stream to its end, and retries a failing log for
// up to 30 s in a row. It returns ErrNotFound if the log has no newer checkpoint.
func (s *Store) Restore(id partition.ID, base partition.Base) (partition.Base, []byte, error) {
	for {
		found, state, err := s.tryRestore(id, base)
		if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, logservice.ErrTrimmed) || s.failedTooLong() {
			return found, state, err
		}
		time.Sleep(restoreRetryDelay)
	}
}

func (s *Store) tryRestore(id partition.ID, base partition.Base) (partition.Base, []byte, error) {
	if age, ok := s.follower.Age(); !ok || age > max(maxStreamAge, s.burstDuration()) {
		return partition.Base{}, nil, fmt.Errorf("stream %s has not been read to its end: %w", Stream, logservice.ErrUnavailable)
	}
	found, ok := s.index.lookup(id)
	if !ok || !base.Before(found.base) {
		s.clearFailure()
		return partition.Base{}, nil, ErrNotFound
	}
	var state []byte
	for piece, offset := range found.offsets {
		part, err := s.readPiece(id, found.base, piece, offset)
		if err != nil {
			return partition.Base{}, nil, err
		}
		state = append(state, part...)
	}
	s.clearFailure()
	return found.base, state, nil
}

// readPiece returns one piece of a checkpoint.
func (s *Store) readPiece(id partition.ID, base partition.Base, piece int, offset structs.Offset) ([]byte, error) {
	entries, err := s.readRecord(offset)
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

// readRecord returns the entries of the record at an offset. It caches the last record,
// because partitions that are restored in sequence often share one.
func (s *Store) readRecord(offset structs.Offset) ([]entry, error) {
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

// burstDuration records a restore attempt and returns how long the current burst of
// restores has lasted.
func (s *Store) burstDuration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastRestore) > burstGap {
		s.burstStart = now
		s.cachedAt, s.cached = 0, nil
	}
	s.lastRestore = now
	return now.Sub(s.burstStart)
}

// clearFailure ends the failure period after the log gave a result.
func (s *Store) clearFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingSince = time.Time{}
}

// failedTooLong reports whether the log has been failing for longer than
// restoreTimeout. Partitions that are restored in sequence share this time.
func (s *Store) failedTooLong() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = time.Now()
	}
	return time.Since(s.failingSince) > restoreTimeout
}
