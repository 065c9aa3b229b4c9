package event

import "github.com/sirupsen/logrus"

// Fleet and partition events, 1200 to 1299.
var (
	FleetJoined      = define(1200, logrus.InfoLevel, "host joined the fleet")
	FleetEvicted     = define(1201, logrus.WarnLevel, "host was evicted and joins again")
	FleetReplaced    = define(1202, logrus.ErrorLevel, "another process joined under this host's ID")
	FleetHostEvicted = define(1203, logrus.WarnLevel, "host evicted from the view")
	FleetIsolated    = define(1204, logrus.WarnLevel, "host hears from too few of the hosts it watches")
	FleetSuspicion   = define(1205, logrus.InfoLevel, "suspicion appended or taken back")

	PartitionLost      = define(1220, logrus.ErrorLevel, "partitions may have lost all copies")
	PartitionRecovered = define(1221, logrus.InfoLevel, "partitions activated after a view change")
	PartitionBroken    = define(1222, logrus.ErrorLevel, "partition state refused an operation or a snapshot")
)
