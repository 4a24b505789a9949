package deployment

import "time"

// Target is a replica of a service as the platform lists it.
type Target struct {
	ID      string
	Service string
	Address string // IP:port
	Domain  string // failure domain
	Slots   int
	Leaving bool
	// WarmupLeft is how long the target stays cold, counted from the listing.
	WarmupLeft time.Duration
	// TimeToRemoval is the time left to a target that is taken away at short notice; 0
	// if it is not.
	TimeToRemoval time.Duration `json:"GoneIn"`
	// Sequence grows with each listing of one start of the target.
	Sequence int64
	// StartedMS is the start of the target in Unix milliseconds.
	StartedMS int64 `json:"Born"`
}

// SameIncarnation reports whether two listings are of the same start of a target.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.StartedMS == o.StartedMS && t.Address == o.Address
}
