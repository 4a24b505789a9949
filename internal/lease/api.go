package lease

import "time"

// Validity is the lifetime of a lease. It must not exceed the duration of a
// leadership lease: a new leader allows for the leases of one predecessor only.
const Validity = 2 * time.Second

// MaxBurstFraction is the fraction of a burst that can be outstanding in leases
// at one time. It also bounds the largest request, as a fraction of its team's
// burst. The rest allows a new leader to grant tokens at once.
const MaxBurstFraction = 0.5

// Debit records tokens taken from a team's balances for one request.
type Debit struct {
	Team   string
	Tokens float64
	// Region is the region whose leader leased the tokens and to which unused
	// ones are refunded.
	Region string
	// OtherRegions lists the parts of Tokens that were leased by leaders of
	// other regions. It is empty unless no single balance sufficed.
	OtherRegions []PartialDebit
	// DebitedAt is the holder's upper clock reading at the time of the debit,
	// so that the age of a refund is never understated.
	DebitedAt time.Duration
	// ValidUntil is the holder's upper clock reading after which the request
	// may no longer be sent to a target.
	ValidUntil time.Duration
}

// PartialDebit is the part of a debit that was leased by the leader of another
// region.
type PartialDebit struct {
	Region string
	Tokens float64
}

// Slot is the right to have one request in flight on a target.
type Slot struct {
	Target string
	// ValidUntil is the holder's upper clock reading after which the request
	// may no longer be sent to the target.
	ValidUntil time.Duration
	// ID is unique within the holder.
	ID uint64
}

// TokenHolder is the part of a lease holder that admission uses.
type TokenHolder interface {
	// TryDebit takes n tokens of team from the instance's balances. It never
	// blocks.
	TryDebit(team string, n float64) (Debit, bool)
	// WantTokens sets the number of tokens that queued requests of team still
	// need.
	WantTokens(team string, n float64)
	// Refund returns the tokens of a debit that were not used. Call it once per
	// debit.
	Refund(d Debit, unused float64)
	// DebitValid reports whether a request with this debit may still be sent to
	// a target.
	DebitValid(d Debit) bool
	// Changed receives a signal after balances or idle slots increased.
	Changed() <-chan struct{}
}

// SlotHolder is the part of a lease holder that routing and dispatch use.
type SlotHolder interface {
	// TryTake takes an idle slot of the target. It never blocks.
	TryTake(target string) (Slot, bool)
	// WantSlots sets the number of queued requests that could use the target.
	WantSlots(target string, n int)
	// Usable reports whether a request with this slot may still be sent.
	Usable(s Slot) bool
	// Release frees the slot. Call it after the request has ended on the
	// target.
	Release(s Slot)
}

// Load is the last known load of a target.
type Load struct {
	Running      int     `json:"running"`
	Queued       int     `json:"queued"`
	CachedTokens float64 `json:"cached_tokens"`
	// SampledAt is the holder's lower clock reading of the sample; 0 if
	// unknown.
	SampledAt time.Duration `json:"sampled_at_ns"`
}

// TargetLoads gives the load of targets in the instance's region.
type TargetLoads interface {
	Load(target string) (Load, bool)
}
