package event

import "github.com/sirupsen/logrus"

// Gateway events, 1700 to 1799.
var (
	RequestAnswered   = define(1700, logrus.InfoLevel, "request answered")
	RequestRefused    = define(1701, logrus.InfoLevel, "request refused, not run")
	RequestFailed     = define(1702, logrus.WarnLevel, "request failed, it may have run")
	AttemptFailed     = define(1703, logrus.WarnLevel, "attempt at a replica failed")
	CallerLeft        = define(1704, logrus.InfoLevel, "caller left before the answer")
	ConfigApplied     = define(1710, logrus.InfoLevel, "new version of the configuration is in force")
	ConfigInvalid     = define(1711, logrus.ErrorLevel, "configuration record is invalid and was ignored")
	ReplicaChanged    = define(1712, logrus.InfoLevel, "state of a replica changed")
	ReplicaInvalid    = define(1713, logrus.WarnLevel, "replica record is invalid and was ignored")
	HostRecordInvalid = define(1714, logrus.WarnLevel, "host record is invalid and was ignored")
	StoreLost         = define(1720, logrus.WarnLevel, "store does not answer")
	StoreRegained     = define(1721, logrus.InfoLevel, "store answers again")
	TurnsLoaded       = define(1730, logrus.InfoLevel, "turns of a partition loaded")
	TurnsLoadFailed   = define(1731, logrus.WarnLevel, "turns of a partition could not be loaded")
	TurnRecordInvalid = define(1732, logrus.ErrorLevel, "turn record is invalid and was ignored")
	TurnsUnsaved      = define(1736, logrus.WarnLevel, "store does not take the turns of a partition")
	TurnEndLate       = define(1734, logrus.WarnLevel, "answer not completed, its turn could not be kept in time")
	TurnEndFailed     = define(1735, logrus.ErrorLevel, "turn could not be kept")
	SettingsReloaded  = define(1740, logrus.InfoLevel, "settings file read again")
	SettingsInvalid   = define(1741, logrus.ErrorLevel, "settings file is invalid and was ignored")
	ReplicaEjected    = define(1743, logrus.WarnLevel, "replica gets no work for a while")
)
