package event

import "github.com/sirupsen/logrus"

// Event is the definition of one kind of log event.
type Event struct {
	// Number identifies the event permanently. Retired numbers are not reused.
	Number int
	// Level is the severity at which the event is logged.
	Level logrus.Level
	// Text is the constant message. Variable data goes into fields.
	Text string
}
