package event

import "github.com/sirupsen/logrus"

// Events of freshness and of the lists' snapshots, 1600 to 1649.
var (
	EndedNotCurrent      = define(1600, logrus.WarnLevel, "requests under keys ended, the host may have missed a withdrawal")
	ListsSnapshot        = define(1601, logrus.InfoLevel, "snapshot of the lists appended")
	ListsSnapshotFailed  = define(1602, logrus.WarnLevel, "snapshot of the lists could not be appended")
	ListsSnapshotMissing = define(1603, logrus.WarnLevel, "first live host appends no snapshot of the lists, another host does")
)
