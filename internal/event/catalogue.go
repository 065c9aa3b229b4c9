package event

import "github.com/sirupsen/logrus"

// Process events, 1000 to 1099.
var (
	HostStarted   = define(1000, logrus.InfoLevel, "host started serving")
	HostDraining  = define(1001, logrus.InfoLevel, "host started draining for a planned stop")
	OutlastsDrain = define(1003, logrus.WarnLevel, "request or settlement is given up at the end of a planned stop")
	HostStopped   = define(1002, logrus.InfoLevel, "host stopped")
)

// catalogue maps the number of every defined event to its definition.
var catalogue map[int]Event

// define adds an event to the catalogue. It runs during package initialization and
// panics if the number is already in use.
func define(number int, level logrus.Level, text string) Event {
	if catalogue == nil {
		catalogue = make(map[int]Event)
	}
	if _, taken := catalogue[number]; taken {
		panic("event number defined twice")
	}
	e := Event{Number: number, Level: level, Text: text}
	catalogue[number] = e
	return e
}

// All returns a copy of the catalogue, keyed by event number.
func All() map[int]Event {
	copied := make(map[int]Event, len(catalogue))
	for number, e := range catalogue {
		copied[number] = e
	}
	return copied
}
