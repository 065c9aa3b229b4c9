package event

import "github.com/sirupsen/logrus"

// Upstream events, 1400 to 1419.
var (
	HostListDown         = define(1400, logrus.WarnLevel, "host list does not answer")
	HostListBack         = define(1401, logrus.InfoLevel, "host list answers again")
	HostListEntryInvalid = define(1402, logrus.WarnLevel, "host list has an invalid entry")
)
