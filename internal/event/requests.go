package event

import "go.uber.org/zap/zapcore"

// Events 400 to 499: requests.
var (
	RequestFailed         = define(400, "request failed", zapcore.InfoLevel, "a request ended with a result code; the decision record gives the reasons")
	TargetLost            = define(401, "target lost", zapcore.WarnLevel, "a target closed the connection during a request, or crashed; the fingerprint of the request is reported, on the platform also the parts of its prompt and the number of requests that this instance still runs there")
	RequestEndedByConfig  = define(402, "request ended by configuration change", zapcore.InfoLevel, "a running request was ended because the newest configuration forbids it")
	FrameRejected         = define(403, "frame rejected", zapcore.WarnLevel, "a frame of a forwarded request was out of sequence or belonged to another request; it was discarded")
	HopRefused            = define(404, "forwarded request refused", zapcore.WarnLevel, "a forwarded request was refused because of its hop count, residency, team or format")
	CallerTooSlow         = define(405, "caller too slow", zapcore.InfoLevel, "a caller made no progress within the timeout and its request was cancelled")
	CallerListenerStarted = define(406, "caller listener started", zapcore.InfoLevel, "the listener for callers accepts requests")
	SuspectBlocked        = define(408, "suspect blocked", zapcore.WarnLevel, "requests with all of the suspects are refused, as each crash of a target that names one of them names all; own is false if another instance found that")
	SuspectUnblocked      = define(409, "suspect no longer blocked", zapcore.InfoLevel, "a block was revoked, as a target has answered a request with one of its suspects or other suspects explain its crashes")
	PanicRecovered        = define(407, "panic in request", zapcore.ErrorLevel, "the handler of a request panicked; the request ended with internal_fault")
)
