package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestLongBodiesShareTheMemory guards against hosts that are killed because they hold the long
// bodies of many requests at once, and against one client account that uses all the memory for
// them.
func TestLongBodiesShareTheMemory(t *testing.T) {
	is := is.New(t)
	const long = 4 << 20
	budget := newMemoryBudget(20 << 20)
	read := func(account string, size, length int64) (*reservation, error) {
		r := &reservation{budget: budget, account: account}
		body, err := readBody(bytes.NewReader(make([]byte, size)), length, r)
		is.True(err != nil || int64(len(body)) == size)
		return r, err
	}
	var held []*reservation
	for range 2 {
		r, err := read("loud", long, long)
		is.NoErr(err)
		held = append(held, r)
	}
	refused, err := read("loud", long, long)
	is.True(errors.Is(err, errNoMemory))
	is.Equal(refused.bytes, int64(0))
	// Others still have room, for one request more than half of the memory.
	r, err := read("quiet", long, long)
	is.NoErr(err)
	is.True(r.grow(2 * long))
	r.release()
	// Short bodies are always read.
	_, err = read("loud", 20_000, 20_000)
	is.NoErr(err)
	// A body of unknown length is given up as soon as it does not fit.
	chunked, err := read("loud", long, -1)
	is.True(errors.Is(err, errNoMemory))
	chunked.release()
	for _, r := range held {
		r.release()
	}
	chunked, err = read("loud", long, -1)
	is.NoErr(err)
	chunked.release()
	is.Equal(budget.used, int64(0))
	is.Equal(len(budget.accounts), 0)
}

// TestBodyIsReadWhole guards against bodies that are cut off or mixed up between two buffers.
func TestBodyIsReadWhole(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, 511, 512, 513, 100_000} {
		want := make([]byte, size)
		for n := range want {
			want[n] = byte(n * 7)
		}
		for _, length := range []int64{int64(size), -1} {
			r := &reservation{budget: newMemoryBudget(0)}
			got, err := readBody(iotest.OneByteReader(bytes.NewReader(want)), length, r)
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
			r.release()
		}
	}
	_, err := readBody(bytes.NewReader(make([]byte, 10)), 20, &reservation{budget: newMemoryBudget(0)})
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}
