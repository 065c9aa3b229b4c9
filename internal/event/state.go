package event

import "github.com/sirupsen/logrus"

// Lists, program and account events, 1300 to 1399.
var (
	ListsChanged       = define(1300, logrus.InfoLevel, "new version of the lists is in force")
	ListsConflict      = define(1301, logrus.WarnLevel, "change of the lists refused: edited from another version")
	ListsRecordInvalid = define(1302, logrus.ErrorLevel, "record of the lists is invalid and was ignored")
	ListsIncomplete    = define(1303, logrus.WarnLevel, "lists wait for a snapshot because older records are trimmed")
	ListsRestored      = define(1304, logrus.InfoLevel, "lists restored from a snapshot")
)
