package turns_test

import (
	"bytes"
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// Limits of the store in these tests, in bytes.
const (
	recordBytes = 256 << 10
	appendBytes = 2 << 20
)

// strictLog rejects what exceeds the limits of the platform's store, and all records whose key
// is rejected. If trimmed is set, it has dropped all but the newest record of each key.
type strictLog struct {
	*storelog.Memory
	rejected string
	trimmed  bool
}

func (l *strictLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	total := 0
	for _, r := range records {
		size := 1 + len(r.Key) + len(r.Value)
		total += size
		if size > recordBytes || len(r.Key) > 255 || (l.rejected != "" && r.Key == l.rejected) {
			return -1, storelog.ErrRejected
		}
	}
	if total > appendBytes {
		return -1, storelog.ErrRejected
	}
	return l.Memory.Append(ctx, p, expected, records)
}

func (l *strictLog) At(ctx context.Context, p storelog.Partition, offset int64, limit int) (storelog.Record, error) {
	if l.trimmed {
		return storelog.Record{}, storelog.ErrTrimmed
	}
	return l.Memory.At(ctx, p, offset, limit)
}

// text returns n bytes that differ from place to place.
func text(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + i*31%26 + i/1000%5)
	}
	return b
}

// newClient returns the client of the only host of a fleet.
func newClient(log storelog.Log, limits turns.Limits) (*turns.Client, *turns.Owner) {
	host := peers.Host{ID: "only", Incarnation: incarnations.Add(1)}
	client := turns.NewClient(oneHost{host}, nil, func() time.Duration { return 0 })
	owner := turns.NewOwner(host, log, singlePeer{}, 8, event.Discard())
	owner.SetLimits(limits)
	client.SetOwner(owner)
	return client, owner
}

// store stores an ended turn in pieces, as the gateway does.
func store(t *testing.T, c *turns.Client, turn turns.Turn, history []byte) {
	t.Helper()
	for piece := range turns.Pieces(turn, history, c.PieceBytes()) {
		if !c.End(deadline(t, 10*time.Second), piece).Kept {
			t.Fatalf("piece %q was not stored", piece.ID)
		}
	}
}

// chain begins a turn of a program that continues parent, and returns the history.
func chain(t *testing.T, c *turns.Client, program, id, parent string) []byte {
	t.Helper()
	reply, _ := c.Begin(deadline(t, 10*time.Second), turns.BeginArgs{Account: "a", Program: program, Turn: id, Parent: parent,
		MaxTokens: 100, RetentionMS: 60_000}, nil)
	if reply.Outcome != turns.Granted {
		t.Fatalf("turn %s: outcome %d", id, reply.Outcome)
	}
	return reply.Chain
}

// TestLongTurnsAreStored guards against a turn whose record the store rejects as too long: it is
// lost, and all later turns of its partition wait behind it. The turn may be sent whole, as
// by hosts of earlier builds, or in pieces, and the next one may be in another program.
func TestLongTurnsAreStored(t *testing.T) {
	sizes := []int{0, 110_000, recordBytes - 20_000, recordBytes - 8<<10 - 1, recordBytes - 8<<10, recordBytes, recordBytes + 1, 300_000, 1 << 20, 4 << 20}
	for _, size := range sizes {
		for _, whole := range []bool{false, true} {
			is := is.New(t)
			log := &strictLog{Memory: storelog.NewMemory()}
			client, owner := newClient(log, turns.DefaultLimits())
			long := ended("long", "", 10)
			long.Input, long.Output = text(size), append(text(500), '\n')
			want := append(bytes.Clone(long.Input), long.Output...)
			if whole {
				is.True(owner.End(deadline(t, 10*time.Second), long).Kept)
			} else {
				store(t, client, long, nil)
			}
			is.True(bytes.Equal(chain(t, client, "p", "next", "long"), want))
			other := ended("other", "", 10)
			is.True(owner.End(deadline(t, time.Second), other).Kept)
			fresh, _ := newClient(log, turns.DefaultLimits())
			is.True(bytes.Equal(chain(t, fresh, "p", "after a restart", "long"), want))
			is.True(bytes.Equal(chain(t, fresh, "another program", "elsewhere", "long"), want))
			// The history is copied into the other program.
			copied := turns.Turn{ID: "copied", Account: "a", Program: "another program", State: turns.Ended, Input: []byte("new"),
				Output: []byte("out\n"), Expiry: time.Now().Add(time.Minute).UnixMilli()}
			store(t, fresh, copied, want)
			is.True(bytes.Equal(chain(t, fresh, "another program", "later", "copied"), append(want, "newout\n"...)))
		}
	}
}

// TestRejectedRecordHoldsNothingUp guards against turns of other programs that wait forever
// behind a record that the store rejects. The rejected turn's tokens still count.
func TestRejectedRecordHoldsNothingUp(t *testing.T) {
	is := is.New(t)
	log := &strictLog{Memory: storelog.NewMemory(), rejected: "bad"}
	o := newOwner(log, nil)
	is.Equal(begin(t, o, "t0", "", 300).Outcome, turns.Granted)
	rejected := make(chan turns.EndReply, 1)
	go func() { rejected <- o.End(deadline(t, 5*time.Second), ended("bad", "", 150)) }()
	for n := range 5 {
		is.True(o.End(deadline(t, time.Second), ended("t"+strconv.Itoa(n), "", 0)).Kept)
	}
	is.Equal(<-rejected, turns.EndReply{Rejected: true})
	is.Equal(begin(t, o, "t6", "bad", 300).Outcome, turns.UnknownParent)
	is.Equal(begin(t, o, "t7", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, o, "t8", "", 300).Outcome, turns.Exhausted)
	log.rejected = "t9"
	is.Equal(begin(t, o, "t9", "", 0).Outcome, turns.Unavailable)
}

// TestContentsBeyondMemoryAreReadAgain guards against hosts that exceed their memory because they
// keep the contents of all turns, and against histories with gaps where they do not.
func TestContentsBeyondMemoryAreReadAgain(t *testing.T) {
	for _, trimmed := range []bool{false, true} {
		is := is.New(t)
		log := &strictLog{Memory: storelog.NewMemory(), trimmed: trimmed}
		limits := turns.DefaultLimits()
		limits.ContentBytes = 100 << 10
		client, owner := newClient(log, limits)
		parent := ""
		var want []byte
		for n := range 12 {
			turn := ended("t"+strconv.Itoa(n), parent, 10)
			turn.Input = text(60_000 + n)
			store(t, client, turn, nil)
			want = append(append(want, turn.Input...), turn.Output...)
			parent = turn.ID
			is.True(owner.ContentInMemory() <= limits.ContentBytes)
		}
		is.True(bytes.Equal(chain(t, client, "p", "next", parent), want))
		fresh, freshOwner := newClient(log, limits)
		is.True(bytes.Equal(chain(t, fresh, "p", "fresh", parent), want))
		is.True(freshOwner.ContentInMemory() <= limits.ContentBytes)
	}
}

// TestTooLongHistoryIsRefusedAtOnce guards against a history that hosts cannot pass on, which would
// be refused as unavailable again and again.
func TestTooLongHistoryIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	client, _ := newClient(&strictLog{Memory: storelog.NewMemory()}, turns.DefaultLimits())
	parent := ""
	for n := range 3 {
		turn := ended("t"+strconv.Itoa(n), parent, 10)
		turn.Input = text(4 << 20)
		store(t, client, turn, nil)
		parent = turn.ID
	}
	for _, program := range []string{"p", "another program"} {
		reply, _ := client.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: program, Turn: "next", Parent: parent,
			MaxTokens: 100, RetentionMS: 60_000}, nil)
		is.Equal(reply.Outcome, turns.HistoryTooLong)
	}
}

// TestLongIDsHaveKeys guards against IDs of callers that are longer than the keys of the store.
func TestLongIDsHaveKeys(t *testing.T) {
	is := is.New(t)
	long := string(bytes.Repeat([]byte("x"), 300))
	is.Equal(turns.Key("short"), "short")
	is.True(len(turns.Key(long)) <= 200)
	is.True(turns.Key(long) != turns.Key(long+"y"))
	client, _ := newClient(&strictLog{Memory: storelog.NewMemory()}, turns.DefaultLimits())
	turn := ended(turns.Key(long), "", 10)
	turn.Input = text(1 << 20)
	store(t, client, turn, nil)
	is.Equal(len(chain(t, client, "p", turns.Key(long+"y"), turns.Key(long))), 1<<20+len(turn.Output))
}

// TestPendingContentsAreBounded guards against hosts that exceed their memory because they queue long
// turns while the store is down. Short ones are queued all the same.
func TestPendingContentsAreBounded(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	limits := turns.DefaultLimits()
	limits.ContentBytes = 1 << 20
	client, owner := newClient(log, limits)
	is.Equal(len(chain(t, client, "p", "t0", "")), 0)
	log.SetFault(down)
	for n := range 20 {
		long := ended("long"+strconv.Itoa(n), "", 10)
		long.Input = text(200 << 10)
		is.True(!owner.End(deadline(t, time.Millisecond), long).Kept)
		is.True(!owner.End(deadline(t, time.Millisecond), ended("short"+strconv.Itoa(n), "", 10)).Kept)
		is.True(owner.PendingContent() <= limits.ContentBytes)
	}
	log.SetFault(nil)
	for n := range 20 {
		is.True(owner.End(deadline(t, 5*time.Second), ended("short"+strconv.Itoa(n), "", 10)).Kept)
		long := ended("long"+strconv.Itoa(n), "", 10)
		long.Input = text(200 << 10)
		store(t, client, long, nil)
	}
	is.Equal(owner.PendingContent(), 0)
}

// TestHistoryWithoutRoomIsNotRead guards against hosts that exceed their memory because many turns read
// long histories at once. What the turn reserved must be settled.
func TestHistoryWithoutRoomIsNotRead(t *testing.T) {
	is := is.New(t)
	client, owner := newClient(&strictLog{Memory: storelog.NewMemory()}, turns.DefaultLimits())
	long := ended("long", "", 10)
	long.Input = text(4 << 20)
	store(t, client, long, nil)
	for _, program := range []string{"p", "another program"} {
		asked := 0
		reply, _ := client.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: program, Turn: "next " + program, Parent: "long",
			MaxTokens: 100, RetentionMS: 60_000}, func(bytes int) bool { asked = bytes; return false })
		is.Equal(reply.Outcome, turns.NoRoom)
		is.Equal(reply.Uncertain, program == "p") // the history of another program is read first
		is.Equal(asked, len(long.Input)+len(long.Output))
		is.Equal(len(reply.Chain), 0)
	}
	is.True(owner.ContentInMemory() <= turns.DefaultLimits().ContentBytes)
}
