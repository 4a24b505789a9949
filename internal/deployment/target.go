package deployment

import "time"

// Target is a replica of a service as the platform lists it. Instances exchange
// it as JSON, see Config.
type Target struct {
	ID      string
	Service string
	Address string // IP:port
	Domain  string // failure domain
	Slots   int
	Leaving bool
	// WarmupLeft is the remaining warm-up time, counted from the listing.
	WarmupLeft time.Duration
	// TimeToRemoval is the time left until the platform removes the target at short
	// notice; 0 if no removal is announced.
	TimeToRemoval time.Duration `json:"GoneIn"`
	// Sequence increases with each listing of one incarnation of the target.
	Sequence int64
	// StartedMS is the start time of the incarnation in Unix milliseconds.
	StartedMS int64 `json:"Born"`
}

// SameIncarnation reports whether two listings describe the same incarnation of a
// target.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.StartedMS == o.StartedMS && t.Address == o.Address
}
