package event

import "github.com/sirupsen/logrus"

// Entry events, 1420 to 1459.
var (
	RequestsEndedKeyWithdrawn = define(1420, logrus.InfoLevel, "requests with a withdrawn key were ended")
	SettleFailed              = define(1421, logrus.ErrorLevel, "call could not be settled at the owner of its program")
	ClaimCloseFailed          = define(1422, logrus.ErrorLevel, "claim could not be closed")
	HandlerPanicked           = define(1423, logrus.ErrorLevel, "request handler panicked")
	AnswerForeign             = define(1424, logrus.ErrorLevel, "upstream returned the answer to another call")
	AnswerNotStored           = define(1425, logrus.WarnLevel, "answer is too long to be stored for retries")
)
