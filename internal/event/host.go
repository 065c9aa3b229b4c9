package event

import "github.com/sirupsen/logrus"

// Host events, 1010 to 1099.
var (
	DrainIncomplete = define(1010, logrus.WarnLevel, "planned stop could not finish a step")
	ListsStale      = define(1011, logrus.WarnLevel, "host may have missed a change of the lists and refuses keyed routes")
	ListsCurrent    = define(1012, logrus.InfoLevel, "host knows the lists in force again and serves keyed routes")
	CopiesLost      = define(1013, logrus.ErrorLevel, "partition may have lost all copies of its newest state")
	ReleaseFailed   = define(1014, logrus.WarnLevel, "replica did not take a release order")
	OrphanReleased  = define(1015, logrus.InfoLevel, "engine memory of a gone program found and released")
)
