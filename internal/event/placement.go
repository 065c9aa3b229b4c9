package event

import "github.com/sirupsen/logrus"

// Placement events, 1550 to 1579.
var (
	PlanningStarted = define(1550, logrus.InfoLevel, "host plans the models of a pool")
	PlanningStopped = define(1551, logrus.InfoLevel, "host no longer plans the models of a pool")
	LoadOrdered     = define(1552, logrus.InfoLevel, "replica was ordered to load a model")
	ModelLoaded     = define(1553, logrus.InfoLevel, "replica reports the model that it was ordered to load")
	LoadOverdue     = define(1554, logrus.WarnLevel, "replica does not report the model that it was ordered to load")
	OrderFailed     = define(1555, logrus.WarnLevel, "load order failed and may have reached the replica")
	OrderRefused    = define(1556, logrus.WarnLevel, "replica refused a load order with an old fencing number")
	OrderWithheld   = define(1557, logrus.InfoLevel, "load order not sent, because ownership or the time for it has passed")
	ModelMissing    = define(1558, logrus.WarnLevel, "model with demand has no replica and cannot be ordered yet")
)
