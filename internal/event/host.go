package event

import "github.com/sirupsen/logrus"

// Host events, 1010 to 1099.
var (
	DrainStepFailed    = define(1010, logrus.WarnLevel, "step of a planned stop failed")
	ListsStale         = define(1011, logrus.WarnLevel, "host may have missed a change of the lists and stopped serving keyed routes")
	ListsCurrent       = define(1012, logrus.InfoLevel, "lists are current again and the host resumed serving keyed routes")
	CopiesLost         = define(1013, logrus.ErrorLevel, "partition may have lost all copies of its newest state")
	ReleaseOrderFailed = define(1014, logrus.WarnLevel, "order to release engine memory failed")
	TaskPanicked       = define(1016, logrus.ErrorLevel, "request, message or background task ended with a panic")
	OrphanReleased     = define(1015, logrus.InfoLevel, "orphaned engine memory of a program was released")
)
