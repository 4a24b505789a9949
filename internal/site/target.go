package site

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
	// GoneIn is the time left to a target that is taken away at short notice; 0
	// if it is not.
	GoneIn time.Duration
	// Sequence grows with each listing of one start of the target.
	Sequence int64
	// Born is the start of the target in Unix milliseconds.
	Born int64
}

// Same reports whether two listings are of the same start of a target.
func (t *Target) Same(o *Target) bool {
	return t.ID == o.ID && t.Born == o.Born && t.Address == o.Address
}
