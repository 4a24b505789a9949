package event

import "go.uber.org/zap/zapcore"

// Events 500 to 599: configuration and membership.
var (
	VersionApplied         = define(500, "configuration version applied", zapcore.InfoLevel, "a new configuration version is in force; fields give revision, digest, source and the number of changes")
	VersionRejected        = define(501, "configuration version rejected", zapcore.ErrorLevel, "a published configuration has errors, listed with their lines; the version in force stays")
	VersionConflict        = define(502, "configuration version conflict", zapcore.ErrorLevel, "two texts have the same revision and different digests; the instance keeps its own")
	UnsafeConfigChange     = define(503, "unsafe configuration change", zapcore.WarnLevel, "shares, voters or the region of a target were changed in one step; while instances use different versions, limits may be exceeded")
	ConfigTooOld           = define(504, "configuration too old", zapcore.ErrorLevel, "neither the configuration service nor a peer confirmed the configuration within max_edition_age; requests are refused")
	ConfigConfirmed        = define(505, "configuration confirmed", zapcore.InfoLevel, "after a start or a process pause, a peer or the configuration service confirmed the configuration version")
	InstanceListApplied    = define(506, "instance list applied", zapcore.InfoLevel, "a new instance list is in force")
	InstanceListRejected   = define(507, "instance list rejected", zapcore.ErrorLevel, "a published instance list has errors; the list in force stays")
	ConfigServiceFailed    = define(508, "configuration service failed", zapcore.WarnLevel, "a call to the configuration service failed; it is retried after a delay")
	ConfigServiceRecovered = define(509, "configuration service recovered", zapcore.InfoLevel, "a call to the configuration service succeeded after failures")
	WatchStarted           = define(510, "configuration watch started", zapcore.InfoLevel, "this instance watches the configuration service for its failure domain")
	WatchEnded             = define(511, "configuration watch ended", zapcore.InfoLevel, "other instances of the failure domain watch the configuration service")
	FetchFailed            = define(512, "fetch from peer failed", zapcore.WarnLevel, "a peer that has a newer configuration version did not deliver it; another source is tried")
	MemberAlive            = define(520, "member alive", zapcore.InfoLevel, "an instance responds; it is used again")
	MemberSuspected        = define(521, "member suspected", zapcore.InfoLevel, "an instance responded neither to this instance nor to those asked to probe it")
	MemberDead             = define(522, "member dead", zapcore.WarnLevel, "a suspected instance did not refute the suspicion in time; it is not used")
	MemberLeaving          = define(523, "member leaving", zapcore.InfoLevel, "an instance announced that it leaves; it gets no new work")
	MemberRemoved          = define(524, "member removed", zapcore.InfoLevel, "a dead instance that is not in the instance list was removed")
)
