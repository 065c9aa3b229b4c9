package event

import "github.com/sirupsen/logrus"

// Dispatcher events, 1500 to 1599.
var (
	DispatcherStarted     = define(1500, logrus.InfoLevel, "host started dispatching for a pool")
	DispatcherStopped     = define(1501, logrus.InfoLevel, "host stopped dispatching for a pool")
	DispatcherUnreachable = define(1502, logrus.WarnLevel, "no dispatcher responded, so the replica was chosen locally")
	SlotsFreed            = define(1503, logrus.WarnLevel, "slots held by hosts that left the view were freed")
	QueueFull             = define(1504, logrus.WarnLevel, "call was refused because the queue is full")
	QueueTimeout          = define(1505, logrus.WarnLevel, "call was refused because no replica became free in time")
)
