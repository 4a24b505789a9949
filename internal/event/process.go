package event

import "go.uber.org/zap/zapcore"

// Events 100 to 199: the process.
var (
	Started        = define(100, "instance started", zapcore.InfoLevel, "the instance listens; fields give version, region and failure domain")
	Stopping       = define(101, "instance stopping", zapcore.InfoLevel, "a shutdown was requested; no new requests are accepted")
	Stopped        = define(102, "instance stopped", zapcore.InfoLevel, "all requests have ended")
	PauseDetected  = define(103, "process pause detected", zapcore.WarnLevel, "the process did not run for the given time; it confirms its edition before it serves")
	SettingsLoaded = define(104, "settings loaded", zapcore.InfoLevel, "the settings file was read")
	ManagerFailed  = define(105, "manager failed", zapcore.ErrorLevel, "a part of the instance ended with an error; the instance stops")
)

// SettingsChecked is written on SIGHUP.
var SettingsChecked = define(107, "settings checked", zapcore.InfoLevel, "SIGHUP: the settings file was checked; nothing was applied, a restart applies it")

// DrainCut is written when the shutdown timeout ended before the requests.
var DrainCut = define(106, "drain cut short", zapcore.WarnLevel, "requests were still running when shutdown_timeout ended; they are cut off")
