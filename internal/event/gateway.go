package event

import "github.com/sirupsen/logrus"

// Gateway events, 1700 to 1799.
var (
	RequestAnswered      = define(1700, logrus.InfoLevel, "request was answered")
	RequestRefused       = define(1701, logrus.InfoLevel, "request was refused without being executed")
	RequestFailed        = define(1702, logrus.WarnLevel, "request failed and may have been executed")
	AttemptFailed        = define(1703, logrus.WarnLevel, "attempt at a replica failed")
	CallerDisconnected   = define(1704, logrus.InfoLevel, "caller disconnected before the answer was complete")
	ConfigApplied        = define(1710, logrus.InfoLevel, "new version of the configuration took effect")
	ConfigRecordInvalid  = define(1711, logrus.ErrorLevel, "configuration record is invalid and was ignored")
	ReplicaChanged       = define(1712, logrus.InfoLevel, "state of a replica changed")
	ReplicaRecordInvalid = define(1713, logrus.WarnLevel, "replica record is invalid and was ignored")
	HostRecordInvalid    = define(1714, logrus.WarnLevel, "host record is invalid and was ignored")
	StoreUnreachable     = define(1720, logrus.WarnLevel, "store does not respond")
	StoreRecovered       = define(1721, logrus.InfoLevel, "store responds again")
	TurnsLoaded          = define(1730, logrus.InfoLevel, "turns of a partition were loaded")
	TurnsLoadFailed      = define(1731, logrus.WarnLevel, "turns of a partition could not be loaded")
	TurnRecordInvalid    = define(1732, logrus.ErrorLevel, "turn record is invalid and was ignored")
	TurnsAppendFailed    = define(1736, logrus.WarnLevel, "turns of a partition could not be appended to the store")
	ReservationExceeded  = define(1706, logrus.WarnLevel, "stream was cut because it exceeds the tokens reserved for it")
	StreamResumed        = define(1705, logrus.InfoLevel, "stream was resumed after its connection to the replica broke")
	TurnStoreTimeout     = define(1734, logrus.WarnLevel, "answer was not completed because its turn could not be stored in time")
	TurnStoreFailed      = define(1735, logrus.ErrorLevel, "turn could not be stored")
	SettingsReloaded     = define(1740, logrus.InfoLevel, "settings file was reloaded")
	SettingsInvalid      = define(1741, logrus.ErrorLevel, "settings file is invalid and was ignored")
	ReplicaLimitChanged  = define(1744, logrus.InfoLevel, "replica changed the rate of requests that it accepts")
	ReplicaAtLimit       = define(1745, logrus.InfoLevel, "replica accepts no more requests at present")
	ReplicaCrashed       = define(1746, logrus.WarnLevel, "replica ended while it ran requests")
	RequestQuarantined   = define(1747, logrus.WarnLevel, "request is refused because replicas end when they run it")
	ReplicaEjected       = define(1743, logrus.WarnLevel, "replica was temporarily ejected from load balancing")
)
