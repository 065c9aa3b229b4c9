package event_test

import (
	"io"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
)

// TestWriteAfterClose guards against a process that ends with a panic at a planned stop because a
// background task logs while the queue is closed.
func TestWriteAfterClose(t *testing.T) {
	is := is.New(t)
	q := event.NewQueue(io.Discard, 4)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 1000 {
				_, err := q.Write([]byte("line"))
				is.NoErr(err)
			}
		})
	}
	q.Close()
	writers.Wait()
	_, err := q.Write([]byte("late"))
	is.NoErr(err)
	q.Close()
}
