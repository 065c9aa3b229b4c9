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
	// snapshotChecks is how often in the log's retention time a host looks whether a
	// snapshot is due.
	snapshotChecks = 32
	// snapshotDue is after how many checks without a snapshot the first live host appends
	// one. It is below a quarter of the retention time, so that the append itself and one
	// check fit in.
	snapshotDue = 6
	// snapshotOverdue is after how many checks any host appends one: the first live host
	// may itself wait for a snapshot.
	snapshotOverdue = 12
	// snapshotTimeout bounds one append; the next check tries again.
	snapshotTimeout = 30 * time.Second
)

// listsSnapshots appends snapshots of the lists, so that a host can start after the log
// has trimmed the records of the edits (docs/design.md, section 5.1).
type listsSnapshots struct {
	store     *lists.Store
	firstLive func() bool
	append    func(context.Context, lists.Record) error
	check     time.Duration
	logger    *event.Logger

	// seen is the newest snapshot in the log, and checks counts the checks since it came.
	seen   structs.Offset
	checks int
}

// newListsSnapshots returns the part for a log that keeps records for the given time.
func newListsSnapshots(store *lists.Store, firstLive func() bool, appendRecord func(context.Context, lists.Record) error,
	retention time.Duration, logger *event.Logger) *listsSnapshots {
	return &listsSnapshots{
		store: store, firstLive: firstLive, append: appendRecord, logger: logger,
		check: retention / snapshotChecks,
	}
}

// run looks regularly until ctx ends.
func (l *listsSnapshots) run(ctx context.Context) {
	ticker := time.NewTicker(l.check)
	defer ticker.Stop()
	started := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if started {
			// The age of the snapshots from before the start is not known.
			l.seen, l.checks, started = l.store.LastSnapshot(), snapshotDue-1, false
		}
		l.step(ctx)
	}
}

// step appends a snapshot if one is due and this host's turn.
func (l *listsSnapshots) step(ctx context.Context) {
	l.checks++
	if newest := l.store.LastSnapshot(); newest != l.seen {
		l.seen, l.checks = newest, 0
	}
	first := l.firstLive()
	if l.checks < snapshotDue || !first && l.checks < snapshotOverdue {
		return
	}
	record, ok := l.store.Snapshot("snapshot/" + rand.Text())
	if !ok {
		return
	}
	if !first {
		l.logger.Log(event.ListsSnapshotMissing, nil)
	}
	limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := l.append(limited, record); err != nil {
		l.logger.Log(event.ListsSnapshotFailed, event.Fields{"error": err.Error()})
		return
	}
	l.logger.Log(event.ListsSnapshot, event.Fields{"version": record.Version, "record": record.ID})
}

// appendListsSnapshot appends a snapshot record.
func (h *Host) appendListsSnapshot(ctx context.Context, record lists.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	_, err = h.appender.Append(ctx, lists.Stream, record.ID, data)
	return err
}
