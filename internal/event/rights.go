package event

import "go.uber.org/zap/zapcore"

// Events 200 to 299: terms, tokens and slots.
var (
	TermWon         = define(200, "term won", zapcore.InfoLevel, "this instance is grantor of the shard; fields give region, shard and ballot")
	TermLost        = define(201, "term lost", zapcore.WarnLevel, "this instance is no longer grantor of the shard; its term was not renewed in time")
	VotesWithheld   = define(202, "votes withheld", zapcore.InfoLevel, "the voter started or was paused and abstains for a full term")
	CampaignFailed  = define(203, "campaign failed", zapcore.DebugLevel, "no majority of the seats promised the term; the instance tries again")
	InvariantBroken = define(204, "invariant broken", zapcore.ErrorLevel, "a ledger's sums disagree, or a holder's report broke an invariant and its grants were voided")
	SlotsUnproved   = define(205, "slots unproved", zapcore.InfoLevel, "slots of a silent holder wait for a load report or the end of max_run")
	GrantorMissing  = define(206, "grantor missing", zapcore.WarnLevel, "no grantor of the region's shard has answered for the given time; tokens are borrowed from other regions")
	GrantorFound    = define(207, "grantor found", zapcore.InfoLevel, "a grantor of the region's shard answers again")
	LoadFailed      = define(208, "target load unknown", zapcore.DebugLevel, "a target did not answer a load request")
	AnswerRefused   = define(209, "renewal answer refused", zapcore.ErrorLevel, "a grantor's answer broke the protocol and was ignored")
)
