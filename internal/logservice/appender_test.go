package logservice_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/standin/logserver"
)

// TestAppendLostAnswer guards against a lost answer that is reported as a failure,
// and against a retry under another record ID, which a fold would apply twice.
func TestAppendLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{})
		w.server.SetFaults(logserver.Faults{LoseAnswers: 1})
		_, err := w.client.Append(t.Context(), "fleet", "a", []byte("1"))
		is.True(errors.Is(err, logservice.ErrUnavailable))
		is.Equal(len(w.server.Records("fleet")), 1) // the append took effect

		w.server.SetFaults(logserver.Faults{LoseAnswers: 3})
		appender := logservice.NewAppender(w.client, event.Discard())
		offset, err := appender.Append(t.Context(), "fleet", "b", []byte("2"))
		is.NoErr(err)
		is.Equal(int(offset), 5)
		records := w.server.Records("fleet")
		is.Equal(len(records), 5)
		for _, record := range records[1:] {
			is.Equal(record.ID, "b")
			is.Equal(string(record.Data), "2")
		}
	})
}

// TestAppendOutage guards against appends that give up before their context ends,
// and against appends of one stream that overtake each other after an outage.
func TestAppendOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{})
		w.server.SetFaults(logserver.Faults{Down: true})
		appender := logservice.NewAppender(w.client, event.Discard())
		short, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := appender.Append(short, "fleet", "short", nil)
		is.True(errors.Is(err, logservice.ErrUnavailable))
		is.True(errors.Is(err, context.DeadlineExceeded))

		var done sync.WaitGroup
		for i := range 5 {
			done.Go(func() {
				if _, err := appender.Append(t.Context(), "fleet", fmt.Sprint(i), nil); err != nil {
					t.Error(err)
				}
			})
			synctest.Wait() // queues them in order
		}
		time.Sleep(time.Hour)
		is.Equal(appender.Queued(), 5)
		behind, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = appender.Append(behind, "fleet", "behind", nil)
		is.True(errors.Is(err, logservice.ErrNotAppended)) // it never left the queue
		is.True(!errors.Is(err, logservice.ErrUnavailable))
		w.server.SetFaults(logserver.Faults{})
		done.Wait()
		for i, record := range w.server.Records("fleet") {
			is.Equal(record.ID, fmt.Sprint(i))
		}
	})
}

// TestAppendRejected guards against a record that blocks its stream for ever
// because the log does not take it.
func TestAppendRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{MaxRecordBytes: 10})
		appender := logservice.NewAppender(w.client, event.Discard())
		_, err := appender.Append(t.Context(), "fleet", "a", make([]byte, 11))
		is.True(errors.Is(err, logservice.ErrRejected))
		is.True(!errors.Is(err, logservice.ErrUnavailable))
		is.Equal(len(w.server.Records("fleet")), 0)
	})
}

// TestAppendShare guards against a host that uses more than its share of the log,
// and against a share that does not follow the number of live hosts.
func TestAppendShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{})
		appender := logservice.NewAppender(w.client, event.Discard())
		count := func(live int) int {
			appender.SetHosts(live)
			before := len(w.server.Records("fleet"))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for ctx.Err() == nil {
				_, _ = appender.Append(ctx, "fleet", "a", nil)
			}
			return len(w.server.Records("fleet")) - before
		}
		for _, live := range []int{10, 100, 10} {
			appended := count(live)
			share := 10 * logservice.FleetAppends / live
			// The bucket's depth of 250 ms comes on top; one append may be cut off.
			is.True(appended >= share-2)                                // share is used
			is.True(appended <= share+logservice.FleetAppends/live/4+1) // share is kept
		}
	})
}

// TestLogServerLimit guards against a stand-in whose limit nobody notices: an
// appender above the limit is slowed down and loses nothing.
func TestLogServerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{AppendsPerSecond: 5})
		appender := logservice.NewAppender(w.client, event.Discard())
		start := time.Now()
		for i := range 50 {
			_, err := appender.Append(t.Context(), "fleet", fmt.Sprint(i), nil)
			is.NoErr(err)
		}
		is.Equal(len(w.server.Records("fleet")), 50)
		is.True(time.Since(start) >= 9*time.Second)
	})
}
