package event

import "github.com/sirupsen/logrus"

// Events about the freshness and the snapshots of the lists, 1600 to 1649.
var (
	RequestsEndedListsStale = define(1600, logrus.WarnLevel, "keyed requests were ended because the host may have missed a key withdrawal")
	ListsSnapshotAppended   = define(1601, logrus.InfoLevel, "snapshot of the lists was appended")
	ListsSnapshotFailed     = define(1602, logrus.WarnLevel, "snapshot of the lists could not be appended")
	ListsSnapshotOverdue    = define(1603, logrus.WarnLevel, "host appends an overdue snapshot of the lists in place of the first live host")
)
