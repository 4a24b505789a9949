package event

import "go.uber.org/zap/zapcore"

// Events 600 to 699: the audit trail and the operators' server.
var (
	AuditChange     = define(600, "audit", zapcore.InfoLevel, "one line of the audit trail: what changed, old and new value, reason, revision")
	OpsServerFailed = define(601, "operator server failed", zapcore.ErrorLevel, "the operators' HTTP server ended with an error")
	AssertionFailed = define(602, "assertion failed", zapcore.ErrorLevel, "an invariant was violated; report the log line with its fields")
)
