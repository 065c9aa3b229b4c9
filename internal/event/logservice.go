package event

import "github.com/sirupsen/logrus"

// Log service and stand-in server events, 1100 to 1199.
var (
	LogUnreachable    = define(1100, logrus.WarnLevel, "log service does not respond")
	LogRecovered      = define(1101, logrus.InfoLevel, "log service responds again")
	LogTrimmed        = define(1102, logrus.WarnLevel, "log service trimmed records before this host read them")
	LogRecordRejected = define(1103, logrus.ErrorLevel, "log service rejected a record")
)
