package event

import "github.com/sirupsen/logrus"

// Dispatcher events, 1500 to 1599.
var (
	DispatcherStarted = define(1500, logrus.InfoLevel, "host dispatches a pool")
	DispatcherStopped = define(1501, logrus.InfoLevel, "host no longer dispatches a pool")
	DispatcherSilent  = define(1502, logrus.WarnLevel, "no dispatcher answers, replica chosen locally")
	SlotsFreed        = define(1503, logrus.WarnLevel, "slots of a gone host freed")
	QueueFull         = define(1504, logrus.WarnLevel, "call refused, queue is full")
	QueueDeadline     = define(1505, logrus.WarnLevel, "call refused, no replica within the deadline")
)
