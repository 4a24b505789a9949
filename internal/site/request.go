package site

import "time"

// Request is what the headers of a caller's request say.
type Request struct {
	ID  string
	Key string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	Model    string
	// PromptTokens and OutputTokens (at most) are 0 if Tokens is not set.
	PromptTokens, OutputTokens int
	HasTokens                  bool
	// Parts of the prompt in order.
	Parts []Part
	// LengthHint is the caller's estimate of the output tokens; 0 for none.
	LengthHint int
	// ResumeAfter is the last event that the caller has of a broken stream.
	ResumeAfter string
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Units is what the request counts against its team's allowance.
func (r *Request) Units(t *Team) float64 {
	switch {
	case !t.ByTokens:
		return 1
	case r.HasTokens:
		return float64(r.PromptTokens + r.OutputTokens)
	default:
		return t.DefaultTokens
	}
}

// Expected is the likely number of output tokens: the hint, at most the maximum.
func (r *Request) Expected() int {
	if r.LengthHint > 0 {
		return min(r.LengthHint, max(r.OutputTokens, 1))
	}
	return r.OutputTokens
}
