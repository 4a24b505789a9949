// Package quota holds every team to its rate and burst over all instances
// together, where nobody publishes shares and no majority can be counted on.
//
// Every instance keeps a copy of each team's token bucket. It takes its own
// admissions from the copy at once and those of the others when their rows
// arrive; between two rows it assumes that they go on at their last pace.
//
// While instances cannot hear each other, each side may spend only its part of
// the rate: the parts are those of the demand when the silence began, which
// both sides know, so that they add up to the whole. The part of a silent
// instance stays frozen until it is heard again or has been replaced by a new
// incarnation, which starts without a part of its own. The parts of failure
// domains from which nothing was heard since the start count as equal.
//
// It is pure state under one lock, without network or clock of its own.
package quota
