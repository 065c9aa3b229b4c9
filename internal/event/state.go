package event

import "github.com/sirupsen/logrus"

// Lists, program and account events, 1300 to 1399.
var (
	ListsChanged       = define(1300, logrus.InfoLevel, "new version of the lists took effect")
	ListsConflict      = define(1301, logrus.WarnLevel, "change of the lists was rejected because it was based on another version")
	ListsRecordInvalid = define(1302, logrus.ErrorLevel, "lists record is invalid and was ignored")
	ListsIncomplete    = define(1303, logrus.WarnLevel, "lists are incomplete until the next snapshot because older records were trimmed")
	ListsRestored      = define(1304, logrus.InfoLevel, "lists were restored from a snapshot")
)
