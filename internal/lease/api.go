package lease

import "time"

// Validity is the lifetime of a grant. It must not exceed the term of a
// grantor: a new grantor allows for the grants of one predecessor only.
const Validity = 2 * time.Second

// MaxBurstFraction is the part of a burst that can be outstanding in grants at one
// time, and so the largest request as a part of its team's burst. The rest
// allows a new grantor to grant at once.
const MaxBurstFraction = 0.5

// Debit is a debit of a team's tokens.
type Debit struct {
	Team   string
	Tokens float64
	// Region names the grantor's region, to which unused tokens are refunded.
	Region string
	// OtherRegions lists the parts of Tokens that came from other regions' grantors; it
	// is empty unless no single balance sufficed.
	OtherRegions []PartialDebit
	// DebitedAt is the holder's upper reading at the time of the debit, so that the
	// age of a refund is never understated.
	DebitedAt time.Duration
	// ValidUntil is the holder's upper reading after which the request may no
	// longer be sent to a target.
	ValidUntil time.Duration
}

// PartialDebit is a part of an admission that came from another grantor.
type PartialDebit struct {
	Region string
	Tokens float64
}

// Slot is the right to have one request in flight on a target.
type Slot struct {
	Target string
	// ValidUntil is the holder's upper reading after which the request may no
	// longer be sent to the target.
	ValidUntil time.Duration
	// ID is unique within the holder.
	ID uint64
}

// TokenHolder is the holder as seen by admission.
type TokenHolder interface {
	// TryDebit takes n tokens of team from the local balances. It never blocks.
	TryDebit(team string, n float64) (Debit, bool)
	// WantTokens states the tokens that queued requests of team still need.
	WantTokens(team string, n float64)
	// Refund gives back what an admission did not use. Call it once.
	Refund(a Debit, unused float64)
	// DebitValid reports whether a request with this admission may still be sent.
	DebitValid(a Debit) bool
	// Changed is signalled after balances or slots rose.
	Changed() <-chan struct{}
}

// SlotHolder is the holder as seen by routing and dispatch.
type SlotHolder interface {
	// TryTake takes an idle slot of the target. It never blocks.
	TryTake(target string) (Slot, bool)
	// WantSlots states how many queued requests could use the target.
	WantSlots(target string, n int)
	// Usable reports whether a request with this slot may still be sent.
	Usable(s Slot) bool
	// Release frees the slot after the request has ended on the target.
	Release(s Slot)
}

// Load is the last known load of a target.
type Load struct {
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	CachedTokens float64 `json:"cached_tokens"`
	// SampledAt is the holder's lower reading of the sample; 0 if unknown.
	SampledAt time.Duration `json:"sampled_at_ns"`
}

// TargetLoads gives the load of targets in the instance's own region.
type TargetLoads interface {
	Load(target string) (Load, bool)
}
