package event

import "github.com/sirupsen/logrus"

// Event is the definition of one kind of log event.
type Event struct {
	// Number identifies the event for ever. Retired numbers are not used again.
	Number int
	// Level is the severity at which the event is written.
	Level logrus.Level
	// Text is the constant message; what varies goes into fields.
	Text string
}
