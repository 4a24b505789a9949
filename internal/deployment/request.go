package deployment

import "time"

// Request is the metadata in the headers of a caller's request.
type Request struct {
	ID     string
	APIKey string
	// CallerTimeout is how long the caller waits; 0 if not given.
	CallerTimeout time.Duration
	Model         string
	// PromptTokens and MaxOutputTokens are 0 if HasTokenCounts is not set.
	PromptTokens, MaxOutputTokens int
	HasTokenCounts                bool
	// PromptParts are the cacheable parts of the prompt, in order.
	PromptParts []PromptPart
	// LengthHint is the caller's estimate of the output tokens; 0 if not given.
	LengthHint int
	// LastEventID is the last event that the caller received of a broken stream.
	LastEventID string
}

// PromptPart is a cacheable piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// QuotaUnits returns what the request is charged against the limits of team t.
func (r *Request) QuotaUnits(t *Team) float64 {
	switch {
	case !t.ByTokens:
		return 1
	case r.HasTokenCounts:
		return float64(r.PromptTokens + r.MaxOutputTokens)
	default:
		return t.DefaultTokens
	}
}

// ExpectedOutputTokens returns the length hint, bounded by the maximum number of
// output tokens; the maximum if there is no hint.
func (r *Request) ExpectedOutputTokens() int {
	if r.LengthHint > 0 {
		return min(r.LengthHint, max(r.MaxOutputTokens, 1))
	}
	return r.MaxOutputTokens
}
