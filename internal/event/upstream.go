package event

import "github.com/sirupsen/logrus"

// Upstream events, 1400 to 1419.
var (
	HostListUnreachable  = define(1400, logrus.WarnLevel, "host list service does not respond")
	HostListRecovered    = define(1401, logrus.InfoLevel, "host list service responds again")
	HostListEntryInvalid = define(1402, logrus.WarnLevel, "host list contains an invalid entry")
)
