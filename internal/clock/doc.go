// Package clock provides the time source of leases. It offers two readings
// that bracket true elapsed time, so that the holder of a lease never outlives
// the belief of its grantor, even if the wall clock steps, clock rates differ
// or the machine was suspended.
package clock
