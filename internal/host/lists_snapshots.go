package host

import (
	"context"
	"crypto/rand"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

const (
	// snapshotChecksPerRetention is how many times per retention time of the log a host
	// checks whether a snapshot is due.
	snapshotChecksPerRetention = 32
	// snapshotDueChecks is the number of checks without a new snapshot after which the
	// first live host appends one. It is below a quarter of the retention time, which
	// leaves time for the append itself and one more check.
	snapshotDueChecks = 6
	// snapshotOverdueChecks is the number of checks without a new snapshot after which
	// any host appends one, because the first live host may itself be waiting for a
	// snapshot.
	snapshotOverdueChecks = 12
	// snapshotTimeout bounds one append. The next check retries a failed append.
	snapshotTimeout = 30 * time.Second
)

// listsSnapshotter appends snapshots of the lists to the log, so that a host can start
// after the log has trimmed the edit records (docs/design.md, section 5.1).
type listsSnapshotter struct {
	store         *lists.Store
	firstLive     func() bool
	append        func(context.Context, lists.Record) error
	checkInterval time.Duration
	logger        *event.Logger

	// newest is the offset of the newest snapshot in the log, and checksSinceNewest is
	// the number of checks since it was first seen.
	newest            structs.Offset
	checksSinceNewest int
}

// newListsSnapshotter returns a snapshotter for a log that retains records for the given
// time.
func newListsSnapshotter(store *lists.Store, firstLive func() bool, appendRecord func(context.Context, lists.Record) error,
	retention time.Duration, logger *event.Logger) *listsSnapshotter {
	return &listsSnapshotter{
		store: store, firstLive: firstLive, append: appendRecord, logger: logger,
		checkInterval: retention / snapshotChecksPerRetention,
	}
}

// run checks periodically until ctx is done.
func (l *listsSnapshotter) run(ctx context.Context) {
	ticker := time.NewTicker(l.checkInterval)
	defer ticker.Stop()
	firstCheck := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if firstCheck {
			// The age of a snapshot that was appended before this host started is unknown, so
			// a new one is due at once.
			l.newest, l.checksSinceNewest, firstCheck = l.store.LastSnapshot(), snapshotDueChecks-1, false
		}
		l.appendIfDue(ctx)
	}
}

// appendIfDue appends a snapshot if one is due and this host is the one to append it.
func (l *listsSnapshotter) appendIfDue(ctx context.Context) {
	l.checksSinceNewest++
	if last := l.store.LastSnapshot(); last != l.newest {
		l.newest, l.checksSinceNewest = last, 0
	}
	firstLive := l.firstLive()
	if l.checksSinceNewest < snapshotDueChecks || !firstLive && l.checksSinceNewest < snapshotOverdueChecks {
		return
	}
	record, ok := l.store.Snapshot("snapshot/" + rand.Text())
	if !ok {
		return
	}
	if !firstLive {
		l.logger.Log(event.ListsSnapshotOverdue, nil)
	}
	appendCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := l.append(appendCtx, record); err != nil {
		l.logger.Log(event.ListsSnapshotFailed, event.Fields{"error": err.Error()})
		return
	}
	l.logger.Log(event.ListsSnapshotAppended, event.Fields{"version": record.Version, "record": record.ID})
}

// appendListsSnapshot appends a snapshot record to the lists stream.
func (h *Host) appendListsSnapshot(ctx context.Context, record lists.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	_, err = h.appender.Append(ctx, lists.Stream, record.ID, data)
	return err
}
