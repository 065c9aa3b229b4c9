// Package guard confines a panic to the request, message or background task in which it
// happens.
package guard

import (
	"errors"
	"runtime/debug"

	"cowslipgw/internal/event"
)

// ErrPanic is returned by Call if the function panicked.
var ErrPanic = errors.New("internal error")

// Call runs f. If f panics, Call logs the panic with its stack as a failure of task, and
// returns ErrPanic.
func Call(events *event.Logger, task string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			Log(events, task, cause)
			err = ErrPanic
		}
	}()
	return f()
}

// Run is like Call for a function without a result.
func Run(events *event.Logger, task string, f func()) {
	// Call has logged the panic.
	_ = Call(events, task, func() error {
		f()
		return nil
	})
}

// Log logs a recovered panic with the stack of the calling goroutine.
func Log(events *event.Logger, task string, cause any) {
	events.Log(event.TaskPanicked, event.Fields{"task": task, "cause": cause, "stack": string(debug.Stack())})
}
