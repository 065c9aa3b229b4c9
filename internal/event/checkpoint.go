package event

import "github.com/sirupsen/logrus"

// Checkpoint events, 1650 to 1699.
var (
	CheckpointAppendFailed  = define(1650, logrus.WarnLevel, "checkpoint could not be appended")
	CheckpointRecordInvalid = define(1651, logrus.ErrorLevel, "checkpoint record is invalid and was ignored")
	CheckpointLagging       = define(1652, logrus.WarnLevel, "checkpoints lag behind the changes of partitions")
	CheckpointRestored      = define(1653, logrus.WarnLevel, "partition was restored from its checkpoint")
	CheckpointRestoreFailed = define(1654, logrus.ErrorLevel, "checkpoint of a lost partition could not be read")
)
