package audit

import "time"

// Kind is the kind of a change in the audit trail.
type Kind string

// Kinds of changes. Their values are shown to operators.
const (
	VersionApplied     Kind = "edition_taken"
	VersionRejected    Kind = "edition_rejected"
	LeadershipAcquired Kind = "term_started"
	LeadershipLost     Kind = "term_ended"
	MemberChanged      Kind = "member_changed"
	KeyRemoved         Kind = "key_removed"
	EngineCommandSent  Kind = "order_given"
	RequestEnded       Kind = "stream_ended"
	RequestBlocked     Kind = "request_blocked"
	TargetChanged      Kind = "target_changed"
	SlotsReclaimed     Kind = "slots_reclaimed"
)

// Change is one entry of the audit trail. It never contains an API key or the
// text of a request.
type Change struct {
	At       time.Time `json:"at"`
	Kind     Kind      `json:"kind"`
	Subject  string    `json:"subject"`
	Team     string    `json:"team,omitempty"`
	Target   string    `json:"target,omitempty"`
	Old      string    `json:"old,omitempty"`
	New      string    `json:"new,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Revision int64     `json:"revision,omitempty"`
}

// Trail records changes for operators.
type Trail interface {
	Add(c Change)
}

// Step is one decision about a request and its reason.
type Step struct {
	At       time.Duration `json:"at_ns"` // since the request arrived
	Decision string        `json:"decision"`
	Reason   string        `json:"reason"`
}

// RequestRecorder records the decisions about each request.
type RequestRecorder interface {
	// AddStep adds a decision to the record of a request; the first one creates
	// the record.
	AddStep(requestID, decision, reason string)
	// End marks the record as ended. code is a result code, 0 for success; d is
	// the time that the request took.
	End(requestID, team string, code int, d time.Duration)
}
