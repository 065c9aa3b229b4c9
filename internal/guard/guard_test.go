package guard_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// TestPanicIsConfined guards against a panic in one task that ends the process or leaves no
// trace.
func TestPanicIsConfined(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	events := event.New(&log, true, logrus.InfoLevel)
	err := guard.Call(events, "test", func() error {
		var owner *struct{ name string }
		return errors.New(owner.name)
	})
	is.True(errors.Is(err, guard.ErrPanic))
	is.True(strings.Contains(log.String(), "guard_test.go"))
	failure := errors.New("no panic")
	is.Equal(guard.Call(events, "test", func() error { return failure }), failure)
}
