package event

import "go.uber.org/zap/zapcore"

// Events 300 to 399: admission and routing.
var (
	TicketEndedTwice   = define(300, "admission ticket ended twice", zapcore.ErrorLevel, "a bug in the instance: Done was called again for a ticket; the second call was ignored")
	ResidencyViolation = define(301, "target choice outside the allowed regions", zapcore.ErrorLevel, "a bug in the instance: a choice named a region that the residency rule forbids; it was discarded")
	CacheEventsLost    = define(302, "cache events lost", zapcore.DebugLevel, "cache events of a target are missing or it restarted; estimates of its prefix cache were discounted")
	SpillStarted       = define(303, "requests sent to another region", zapcore.InfoLevel, "waiting in the local queue costs more than the link; fields give region, model or service and figures")
	SpillEnded         = define(304, "requests no longer sent to another region", zapcore.InfoLevel, "waiting in the local queue costs less than the link again")
)
