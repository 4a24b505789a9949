package event

import "go.uber.org/zap/zapcore"

// Events 500 to 599: configuration and members.
var (
	EditionTaken     = define(500, "edition taken", zapcore.InfoLevel, "a new edition is in force; fields give revision, digest, source and the number of changes")
	EditionRejected  = define(501, "edition rejected", zapcore.ErrorLevel, "a published text has faults; the edition in force stays, the faults are given with their lines")
	EditionConflict  = define(502, "edition conflict", zapcore.ErrorLevel, "two texts have the same revision and different digests; the instance keeps its own")
	EditionHazard    = define(503, "unsafe table change", zapcore.WarnLevel, "shares, seats or the region of a target were changed in one step; while instances hold different editions, limits may be exceeded")
	EditionOld       = define(504, "edition too old", zapcore.ErrorLevel, "neither the configuration service nor a peer confirmed the edition within max_edition_age; requests are refused")
	EditionConfirmed = define(505, "edition confirmed", zapcore.InfoLevel, "after a start or a pause, a peer or the configuration service confirmed the edition")
	ListTaken        = define(506, "instance list taken", zapcore.InfoLevel, "a new instance list is in force")
	ListRejected     = define(507, "instance list rejected", zapcore.ErrorLevel, "a published instance list has faults; the list in force stays")
	ServiceFailed    = define(508, "configuration service failed", zapcore.WarnLevel, "a call to the configuration service failed; it is repeated after a delay")
	ServiceBack      = define(509, "configuration service back", zapcore.InfoLevel, "a call to the configuration service succeeded after failures")
	WatchStarted     = define(510, "watch started", zapcore.InfoLevel, "this instance watches the configuration service for its failure domain")
	WatchEnded       = define(511, "watch ended", zapcore.InfoLevel, "other instances of the failure domain watch the configuration service")
	FetchFailed      = define(512, "fetch from peer failed", zapcore.WarnLevel, "a peer that has a newer edition did not deliver it; another source is tried")
	MemberAlive      = define(520, "member alive", zapcore.InfoLevel, "an instance answers; it is used again")
	MemberSuspected  = define(521, "member suspected", zapcore.InfoLevel, "an instance answered neither this instance nor the ones asked to probe it")
	MemberDead       = define(522, "member dead", zapcore.WarnLevel, "a suspected instance did not refute the suspicion in time; it is not used")
	MemberLeaving    = define(523, "member leaving", zapcore.InfoLevel, "an instance announced that it leaves; it gets no new work")
	MemberForgotten  = define(524, "member forgotten", zapcore.InfoLevel, "a dead instance that is not in the instance list was removed")
)
