package deployment

import "time"

// Request is what the headers of a caller's request say.
type Request struct {
	ID     string
	APIKey string
	// CallerTimeout is how long the caller waits; 0 if it does not say.
	CallerTimeout time.Duration
	Model         string
	// PromptTokens and MaxOutputTokens (at most) are 0 if Tokens is not set.
	PromptTokens, MaxOutputTokens int
	HasTokenCounts                bool
	// PromptParts of the prompt in order.
	PromptParts []PromptPart
	// LengthHint is the caller's estimate of the output tokens; 0 for none.
	LengthHint int
	// LastEventID is the last event that the caller has of a broken stream.
	LastEventID string
}

// PromptPart is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// QuotaUnits is what the request counts against its team's allowance.
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

// ExpectedOutputTokens is the likely number of output tokens: the hint, at most the maximum.
func (r *Request) ExpectedOutputTokens() int {
	if r.LengthHint > 0 {
		return min(r.LengthHint, max(r.MaxOutputTokens, 1))
	}
	return r.MaxOutputTokens
}
