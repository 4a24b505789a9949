package admission

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// Request asks for admission.
type Request struct {
	Team   string
	Weight float64
	// Tokens is prompt plus output cap; 0 for requests that cost none.
	Tokens float64
	// Targets are the acceptable targets of this region in order of preference;
	// nil if the request goes to another region and needs no slot here.
	Targets []string
	// Deadline is the latest time to start; a request that cannot start by then
	// is refused at once.
	Deadline time.Time
	// Prepaid is set for a request forwarded by another instance, which has
	// debited the tokens already.
	Prepaid bool
}

// Ticket is an admitted request.
type Ticket struct {
	Debit   lease.Debit
	Slot    lease.Slot
	HasSlot bool
	Waited  time.Duration
	// ended is shared by all copies of the ticket and set by Done.
	ended *atomic.Bool
}

// Admitter admits requests. Errors are *result.Error and always not run.
type Admitter interface {
	Admit(ctx context.Context, r Request) (Ticket, error)
	// AcquireSlot obtains a slot for a further attempt of an admitted request.
	AcquireSlot(ctx context.Context, r Request) (lease.Slot, error)
	// Valid reports whether the ticket may still be used to send the
	// request to its target.
	Valid(t Ticket) bool
	// Done frees the slot and refunds tokens that were not used. Call it once.
	Done(t Ticket, used float64)
}
