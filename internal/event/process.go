package event

import "go.uber.org/zap/zapcore"

// Events 100 to 199: the process and its settings.
var (
	Started        = define(100, "instance started", zapcore.InfoLevel, "the instance listens; fields give version, region and failure domain")
	Stopping       = define(101, "instance stopping", zapcore.InfoLevel, "a shutdown was requested; no new requests are accepted")
	Stopped        = define(102, "instance stopped", zapcore.InfoLevel, "all requests have ended")
	PauseDetected  = define(103, "process pause detected", zapcore.WarnLevel, "the process did not run for the given time; it confirms its configuration before it serves requests again")
	SettingsLoaded = define(104, "settings loaded", zapcore.InfoLevel, "the settings file was read")
	ManagerFailed  = define(105, "manager failed", zapcore.ErrorLevel, "a manager of the instance ended with an error; the instance stops")
)

// SettingsChecked is logged on SIGHUP.
var SettingsChecked = define(107, "settings checked", zapcore.InfoLevel, "SIGHUP: the settings file was checked but not applied; a restart applies it")

// DrainTimedOut is logged when requests are still running at the end of the
// shutdown timeout.
var DrainTimedOut = define(106, "drain timed out", zapcore.WarnLevel, "requests were still running when shutdown_timeout ended; they are aborted")
