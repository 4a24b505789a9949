// Package clock provides the time source of leases. A clock gives a lower and an
// upper bound of true elapsed time, so that a holder never uses a lease after
// its grantor considers it expired, even if the wall clock steps, clock rates
// differ or the machine was suspended. Grantor here means whoever grants a
// lease: a leader or a voter.
package clock
