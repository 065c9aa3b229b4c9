package event

import "github.com/sirupsen/logrus"

// Placement events, 1550 to 1579.
var (
	PlanningStarted  = define(1550, logrus.InfoLevel, "host started planning model placement for a pool")
	PlanningStopped  = define(1551, logrus.InfoLevel, "host stopped planning model placement for a pool")
	LoadOrdered      = define(1552, logrus.InfoLevel, "replica was ordered to load a model")
	ModelLoaded      = define(1553, logrus.InfoLevel, "replica reported the model that it was ordered to load")
	LoadOverdue      = define(1554, logrus.WarnLevel, "replica did not report the ordered model in time")
	LoadOrderFailed  = define(1555, logrus.WarnLevel, "load order failed and may have reached the replica")
	LoadOrderRefused = define(1556, logrus.WarnLevel, "replica refused a load order with a stale fencing token")
	LoadOrderSkipped = define(1557, logrus.InfoLevel, "load order was not sent because the host lost ownership of the pool or the deadline passed")
	ModelUnavailable = define(1558, logrus.WarnLevel, "model with demand has no replica and cannot be loaded yet")
)
