package event

import "go.uber.org/zap/zapcore"

// Events 200 to 299: leadership, token leases and slots.
var (
	LeadershipAcquired      = define(200, "leadership acquired", zapcore.InfoLevel, "this instance acquired the leadership lease of the shard; fields give region, shard and ballot")
	LeadershipLost          = define(201, "leadership lost", zapcore.WarnLevel, "this instance no longer leads the shard; its leadership lease was not renewed in time")
	VoterAbstaining         = define(202, "voter abstaining", zapcore.InfoLevel, "the voter started or resumed after a process pause and abstains for the length of one leadership lease")
	CampaignFailed          = define(203, "campaign failed", zapcore.DebugLevel, "no majority of the voters promised the leadership lease; the instance tries again")
	InvariantViolated       = define(204, "invariant violated", zapcore.ErrorLevel, "the sums of a ledger disagree, or a holder's report violated an invariant and its leases were revoked")
	SlotsUnconfirmed        = define(205, "slots unconfirmed", zapcore.InfoLevel, "slots of an expired holder stay reserved until a load report or the end of max_run")
	LeaderMissing           = define(206, "leader missing", zapcore.WarnLevel, "no leader of the region's shard has responded for the given time; tokens are leased from other regions")
	LeaderFound             = define(207, "leader found", zapcore.InfoLevel, "a leader of the region's shard responds again")
	LoadRequestFailed       = define(208, "load request failed", zapcore.DebugLevel, "a target did not respond to a load request")
	RenewalResponseRejected = define(209, "renewal response rejected", zapcore.ErrorLevel, "a leader's response violated the protocol and was ignored")
)
