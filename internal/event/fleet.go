package event

import "github.com/sirupsen/logrus"

// Fleet membership and partition events, 1200 to 1299.
var (
	FleetJoined           = define(1200, logrus.InfoLevel, "host joined the fleet")
	FleetSelfEvicted      = define(1201, logrus.WarnLevel, "this host was evicted and is rejoining the fleet")
	FleetSuperseded       = define(1202, logrus.ErrorLevel, "another process joined under this host's ID")
	FleetHostEvicted      = define(1203, logrus.WarnLevel, "host was evicted from the view")
	FleetIsolated         = define(1204, logrus.WarnLevel, "host receives heartbeats from fewer than half of the hosts it watches")
	FleetSuspicionChanged = define(1205, logrus.InfoLevel, "suspicion of a host was recorded or cleared")

	PartitionDataLoss    = define(1220, logrus.ErrorLevel, "partitions may have lost all copies")
	PartitionRecovered   = define(1221, logrus.InfoLevel, "partitions were activated after a view change")
	PartitionApplyFailed = define(1222, logrus.ErrorLevel, "partition state machine rejected an operation or a snapshot")
)
