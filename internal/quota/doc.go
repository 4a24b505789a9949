// Package quota limits every team to its rate and burst over all instances
// together, without a central authority that assigns shares and without a quorum.
//
// Every instance keeps a copy of each team's token bucket. It deducts its own
// admissions from the copy at once and those of other instances when their
// heartbeats arrive. Between two heartbeats it assumes that they continue to spend
// at their last known rate.
//
// During a network partition each side may spend only its share of the rate. The
// shares are proportional to the demand when the partition began, which both sides
// know, so that they add up to the whole rate. The share of an unreachable
// instance stays frozen until it is reachable again or has been replaced by a new
// incarnation, which starts without a share of its own. Failure domains that were
// not seen since the start count with equal shares.
//
// The package holds state under a single lock; it uses neither the network nor a
// clock.
package quota
