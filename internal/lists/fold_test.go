package lists_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipgw/internal/event"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// memoryLog is an in-memory stream that passes each record to its stores. lose is the
// number of appends that take effect but return an error, down the number of appends
// that fail without effect.
type memoryLog struct {
	records []logservice.Record
	stores  []*lists.Store
	lose    int
	down    int
}

func (m *memoryLog) Append(_ context.Context, _, id string, data []byte) (structs.Offset, error) {
	if m.down > 0 {
		m.down--
		return 0, logservice.ErrUnavailable
	}
	record := logservice.Record{Offset: structs.Offset(len(m.records) + 1), ID: id, Data: data}
	m.records = append(m.records, record)
	for _, store := range m.stores {
		store.Fold(record)
	}
	if m.lose > 0 {
		m.lose--
		return 0, logservice.ErrUnavailable
	}
	return record.Offset, nil
}

func newStore() *lists.Store {
	return lists.NewStore(time.Now, event.Discard())
}

// TestPutOutcomes guards against a put that reports a conflict with its own earlier
// append after a retry, or success for a change that was rejected.
func TestPutOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		log := &memoryLog{stores: []*lists.Store{store}, lose: 2, down: 1}
		put := func(id string, base structs.Offset, accounts string) lists.PutResult {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			result, err := lists.Put(ctx, log, store, lists.Record{
				ID: id, Base: base, By: "ana", Accounts: accounts, Plans: plansText})
			is.NoErr(err)
			return result
		}
		first := put("r1", 0, accountsText(keyA, ""))
		is.Equal(first.State, lists.PutAccepted)
		changed := store.Changed()
		second := put("r2", first.Version, accountsText(keyB, keyA))
		is.Equal(second.State, lists.PutAccepted)
		select {
		case <-changed:
		default:
			t.Error("Changed was not closed")
		}
		late := put("r3", first.Version, accountsText("", ""))
		is.Equal(late.State, lists.PutConflict)
		is.Equal(late.Version, second.Version)
		is.Equal(late.Changes[0].By, "ana")
		is.True(strings.Contains(strings.Join(late.Changes[0].Changes, "\n"), "withdrawn"))
		is.True(!strings.Contains(fmt.Sprint(late.Changes), keyA))
		is.Equal(put("r4", second.Version, "[account").State, lists.PutInvalid)
		log.down = 1000
		is.Equal(put("r5", second.Version, "").State, lists.PutUnknown)
		w := lists.Withdrawn(lists.Empty(), store.Current())
		is.Equal(len(w.Keys), 0)
	})
}

// TestWithdrawn guards against running requests that are not ended when their key moves
// to another account.
func TestWithdrawn(t *testing.T) {
	is := is.New(t)
	before, _ := lists.Parse(accountsText(keyA, keyB), plansText)
	after, _ := lists.Parse(accountsText(keyB, ""), plansText)
	w := lists.Withdrawn(before, after)
	is.True(w.Revokes(lists.HashKey("a"), "yard"))
	is.True(w.Revokes(lists.HashKey("b"), "shop"))
	is.True(!w.Revokes(lists.HashKey("b"), "yard"))
	is.True(w.Accounts["yard"] && w.Accounts["shop"])
}

// TestFoldAgrees guards against hosts that disagree on the version in force. A host
// that starts on a log trimmed at any offset must reach the same state as a host that
// read all records, and its version must never decrease.
func TestFoldAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := newStore()
		log := &memoryLog{stores: []*lists.Store{full}}
		var delayed *lists.Record
		appendRecord := func(r lists.Record) {
			data, err := r.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := log.Append(context.Background(), lists.Stream, r.ID, data); err != nil {
				t.Fatal(err)
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			id := fmt.Sprintf("r%d", i)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0: // A snapshot that case 1 appends after later records.
				if r, ok := full.Snapshot(id); ok {
					delayed = &r
				}
			case 1:
				if delayed != nil {
					appendRecord(*delayed)
				}
			case 2: // A change based on a random old version; base 0 is the empty initial version.
				base := structs.Offset(rapid.IntRange(0, i).Draw(t, "base"))
				appendRecord(lists.Record{ID: id, Base: base, Accounts: accountsText(keyA, ""), Plans: plansText})
			case 3:
				appendRecord(lists.Record{ID: id, Base: full.Current().Version, Accounts: accountsText(keyB, keyA), Plans: plansText + "# " + id})
			case 4:
				appendRecord(lists.Record{ID: id, Base: full.Current().Version, Accounts: "[", Plans: plansText})
			}
		}
		if r, ok := full.Snapshot("last"); ok {
			appendRecord(r)
		}
		if len(log.records) == 0 {
			return
		}
		start := rapid.IntRange(0, len(log.records)-1).Draw(t, "start")
		late := newStore()
		var version structs.Offset
		for _, r := range log.records[start:] {
			late.Fold(r)
			late.Fold(r)
			if late.Current().Version < version {
				t.Fatal("the version in force decreased")
			}
			version = late.Current().Version
		}
		if late.Current().Version != full.Current().Version || late.Current().PlansText != full.Current().PlansText {
			t.Fatalf("host that started at record %d has version %d, the others %d",
				start+1, late.Current().Version, full.Current().Version)
		}
		if !late.Complete() || len(late.History()) != len(full.History()) {
			t.Fatal("the state or history of the late host is incomplete")
		}
	})
}

// TestFoldIgnoresGarbage guards against an undecodable record that stops the store from
// applying later records.
func TestFoldIgnoresGarbage(t *testing.T) {
	is := is.New(t)
	store := newStore()
	store.Fold(logservice.Record{Offset: 1, ID: "x", Data: []byte("{")})
	is.Equal(store.Current().Version, structs.Offset(0))
	is.Equal(store.Folded(), structs.Offset(1))
	_, err := lists.DecodeRecord(nil)
	is.True(err != nil && !errors.Is(err, logservice.ErrUnavailable))
}
