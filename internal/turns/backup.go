package turns

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/boottime"
)

const (
	// backupTimeout limits the call that copies a grant, which is one or two milliseconds away and replies
	// immediately.
	backupTimeout = 60 * time.Millisecond
	// minBackupRest is how long a host is asked for no copies after it failed to keep one. The time doubles
	// with each further failure up to maxBackupRest: a host of an earlier build fails always.
	minBackupRest = 2 * time.Second
	maxBackupRest = 2 * time.Minute
)

var (
	grantsCopied    = metrics.NewCounter("cowslipgw_turns_grants_copied_total")
	grantCopyFailed = metrics.NewCounter("cowslipgw_turns_grant_copy_failed_total")
	grantCopiesRead = metrics.NewCounter("cowslipgw_turns_grant_copies_read_total")
	grantCopiesLost = metrics.NewCounter("cowslipgw_turns_grant_copies_unavailable_total")
)

// Backups keep copies of the turns that an owner grants without a record, so that after its loss the next owner
// knows which turns these are. A backup is named by the writer ID of its host.
type Backups interface {
	// Choose returns a backup for the grants of a partition that usable accepts, or 0 if there is none.
	Choose(partition int, usable func(backup int64) bool) int64
	// Keep makes a backup keep a copy.
	Keep(ctx context.Context, args KeepArgs) KeepOutcome
	// Seal returns the copies of a backup, which accepts no further ones. It reports false if they are not
	// available.
	Seal(ctx context.Context, args SealArgs) (SealReply, bool)
}

// SetBackups sets the backups of the owner's grants. Without them, what a lost owner has preallocated
// counts as used. It must be called before the owner is used.
func (o *Owner) SetBackups(b Backups) { o.backups = b }

// chooseBackupLocked returns the backup for the next record of a program: the same as before while the
// program has grants without a record, of which another one has no copies.
func (o *Owner) chooseBackupLocked(p *partition, g *program) int64 {
	usable := func(backup int64) bool { return backup != g.sealedBackup && o.backupRests.usable(backup, time.Now()) }
	if o.backups == nil || len(g.unrecorded) > 0 || (g.backup != 0 && usable(g.backup)) {
		return g.backup
	}
	return o.backups.Choose(p.id, usable)
}

// copyGrant makes the backup keep a copy of a turn that was granted without a record.
func (o *Owner) copyGrant(ctx context.Context, backup int64, p *partition, args BeginArgs) KeepOutcome {
	if !o.backupRests.usable(backup, time.Now()) {
		return KeepFailed
	}
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	outcome := o.backups.Keep(ctx, KeepArgs{Backup: backup, Writer: p.writer, Account: args.Account, Program: args.Program,
		Turn: args.Turn, Tokens: args.MaxTokens})
	switch outcome {
	case Kept:
		grantsCopied.Inc()
	case KeepFailed:
		grantCopyFailed.Inc()
		o.backupRests.failed(backup, time.Now())
	}
	return outcome
}

// recordGrant queues a record for a turn of whose grant the backup has no copy. It returns nil if the
// turn must not begin, because it cannot be stored.
func (o *Owner) recordGrant(p *partition, args BeginArgs, outcome KeepOutcome) *change {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := args.turn()
	g := p.programLocked(&t)
	delete(g.unrecorded, t.ID)
	g.endPreallocation()
	if outcome == KeepRefused {
		g.sealedBackup = g.backup
	}
	if !p.loaded || args.PreallocatedOnly || p.writing && p.failingForLocked(appendFailureLimit) {
		return nil
	}
	c := &change{budget: args.Budget, done: make(chan struct{}), turn: t}
	o.enqueueLocked(p, c)
	o.startWriteLocked(p)
	return c
}

// sealCopies reads the copies of the grants of another owner from its backup.
func (o *Owner) sealCopies(ctx context.Context, args SealArgs) (SealReply, bool) {
	if o.backups == nil || args.Backup == 0 {
		return SealReply{}, false
	}
	if reply, isBackup := o.Seal(args); isBackup {
		grantCopiesRead.Inc()
		return reply, true
	}
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	reply, ok := o.backups.Seal(ctx, args)
	if ok {
		grantCopiesRead.Inc()
	} else {
		grantCopiesLost.Inc()
	}
	return reply, ok
}

// Keep keeps a copy of a grant of another owner. It reports whether this owner is the named backup and the
// grants of that owner are not sealed.
func (o *Owner) Keep(args KeepArgs) bool {
	key := copyKey{args.Writer, programKey{args.Account, args.Program}}
	return args.Backup == o.writer && o.copies.keep(key, args.Turn, args.Tokens, boottime.Now())
}

// Seal returns the copies of an owner's grants and accepts no further ones. It reports whether this owner is
// the named backup.
func (o *Owner) Seal(args SealArgs) (SealReply, bool) {
	if args.Backup != o.writer {
		return SealReply{}, false
	}
	key := copyKey{args.Writer, programKey{args.Account, args.Program}}
	return SealReply{Open: o.copies.seal(key, boottime.Now())}, true
}

// backupRests records which backups have failed lately. It is safe for concurrent use.
type backupRests struct {
	mu    sync.Mutex
	rests map[int64]backupRest
}

// backupRest is the time until which a backup is not used, and how long that was.
type backupRest struct {
	until time.Time
	rest  time.Duration
}

func (r *backupRests) usable(backup int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.rests[backup].until.After(now)
}

func (r *backupRests) failed(backup int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rests == nil {
		r.rests = make(map[int64]backupRest)
	}
	rest := min(max(2*r.rests[backup].rest, minBackupRest), maxBackupRest)
	r.rests[backup] = backupRest{now.Add(rest), rest}
}
