package event

import "go.uber.org/zap/zapcore"

// Events 300 to 399: admission and routing.
var (
	TicketEndedTwice = define(300, "ticket ended twice", zapcore.ErrorLevel, "a fault of the instance: Done was called again for a ticket; the second call was ignored")
	ResidencyBreach  = define(301, "choice outside the allowed regions", zapcore.ErrorLevel, "a fault of the instance: a choice named a region that the residency rule forbids; it was dropped")
	CacheBeliefGap   = define(302, "cache events lost", zapcore.DebugLevel, "cache events of a target are missing or it restarted; beliefs about its prefix cache were discounted")
	SpillStarted     = define(303, "requests sent to another region", zapcore.InfoLevel, "the own queue costs more than the link; fields give region, model or service and figures")
	SpillEnded       = define(304, "requests no longer sent to another region", zapcore.InfoLevel, "the own queue costs less than the link again")
)
