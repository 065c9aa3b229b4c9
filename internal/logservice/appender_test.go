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

// TestAppendLostAnswer guards against an append that is reported as failed because its
// answer was lost, and against a retry with another record ID, which readers would apply
// twice.
func TestAppendLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{})
		env.server.SetFaults(logserver.Faults{LoseAnswers: 1})
		_, err := env.client.Append(t.Context(), "fleet", "a", []byte("1"))
		is.True(errors.Is(err, logservice.ErrUnavailable))
		is.Equal(len(env.server.Records("fleet")), 1) // the append took effect

		env.server.SetFaults(logserver.Faults{LoseAnswers: 3})
		appender := logservice.NewAppender(env.client, event.Discard())
		offset, err := appender.Append(t.Context(), "fleet", "b", []byte("2"))
		is.NoErr(err)
		is.Equal(int(offset), 5)
		records := env.server.Records("fleet")
		is.Equal(len(records), 5)
		for _, record := range records[1:] {
			is.Equal(record.ID, "b")
			is.Equal(string(record.Data), "2")
		}
	})
}

// TestAppendOutage guards against appends that stop retrying before their context is
// done, and against appends to one stream that are reordered after an outage.
func TestAppendOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{})
		env.server.SetFaults(logserver.Faults{Down: true})
		appender := logservice.NewAppender(env.client, event.Discard())
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
		is.True(errors.Is(err, logservice.ErrNotAppended)) // it was never attempted
		is.True(!errors.Is(err, logservice.ErrUnavailable))
		env.server.SetFaults(logserver.Faults{})
		done.Wait()
		for i, record := range env.server.Records("fleet") {
			is.Equal(record.ID, fmt.Sprint(i))
		}
	})
}

// TestAppendRejected guards against a record that blocks its stream forever because the
// log rejects it.
func TestAppendRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{MaxRecordBytes: 10})
		appender := logservice.NewAppender(env.client, event.Discard())
		_, err := appender.Append(t.Context(), "fleet", "a", make([]byte, 11))
		is.True(errors.Is(err, logservice.ErrRejected))
		is.True(!errors.Is(err, logservice.ErrUnavailable))
		is.Equal(len(env.server.Records("fleet")), 0)
	})
}

// TestAppendShare guards against a host that exceeds its share of the append rate, and
// against a share that does not change with the number of live hosts.
func TestAppendShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{})
		appender := logservice.NewAppender(env.client, event.Discard())
		count := func(live int) int {
			appender.SetHosts(live)
			before := len(env.server.Records("fleet"))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for ctx.Err() == nil {
				_, _ = appender.Append(ctx, "fleet", "a", nil)
			}
			return len(env.server.Records("fleet")) - before
		}
		for _, live := range []int{10, 100, 10} {
			appended := count(live)
			share := 10 * logservice.FleetAppendRate / live
			// The burst of 250 ms comes on top, and the deadline may interrupt one append.
			is.True(appended >= share-2)                                   // share is used
			is.True(appended <= share+logservice.FleetAppendRate/live/4+1) // share is not exceeded
		}
	})
}

// TestLogServerLimit guards against a stand-in that does not enforce its rate limit, and
// against an appender that loses records when it is throttled.
func TestLogServerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{AppendsPerSecond: 5})
		appender := logservice.NewAppender(env.client, event.Discard())
		start := time.Now()
		for i := range 50 {
			_, err := appender.Append(t.Context(), "fleet", fmt.Sprint(i), nil)
			is.NoErr(err)
		}
		is.Equal(len(env.server.Records("fleet")), 50)
		is.True(time.Since(start) >= 9*time.Second)
	})
}
