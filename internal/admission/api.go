package admission

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// Request describes a request to admit.
type Request struct {
	Team   string
	Weight float64
	// Tokens is the prompt length plus the output limit; 0 for requests that
	// cost no tokens.
	Tokens float64
	// Targets are the acceptable targets of this region in order of preference;
	// nil if the request is forwarded to another region and needs no local slot.
	Targets []string
	// Deadline is the latest time to start; a request that cannot start by then
	// is refused at once.
	Deadline time.Time
	// Prepaid is set for a request forwarded by another instance, which has
	// already debited the tokens.
	Prepaid bool
}

// Ticket is what an admitted request holds until Done: its debit and its slot.
type Ticket struct {
	Debit   lease.Debit
	Slot    lease.Slot
	HasSlot bool
	Waited  time.Duration
	// ended is shared by all copies of the ticket and set by Done.
	ended *atomic.Bool
}

// Admitter admits requests. Its errors are *result.Error, always marked as not
// run.
type Admitter interface {
	Admit(ctx context.Context, r Request) (Ticket, error)
	// AcquireSlot obtains a slot for a retry of an admitted request.
	AcquireSlot(ctx context.Context, r Request) (lease.Slot, error)
	// Valid reports whether the ticket may still be used to send the request to
	// its target.
	Valid(t Ticket) bool
	// Done releases the slot and refunds unused tokens. It must be called once
	// per ticket.
	Done(t Ticket, used float64)
}
