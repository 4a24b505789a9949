package dispatch

import (
	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/routing"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// ConfigSource provides the configuration in force; nil before the first one.
type ConfigSource interface {
	Current() *config.Config
}

// Member is an instance that membership lists as alive.
type Member struct {
	Name        string
	Incarnation uint64
	PeerAddress string
	Region      string
}

// Members lists the instances that are estimated to be alive.
type Members interface {
	// InRegion returns the live instances of a region, except this one.
	InRegion(region string) []Member
	// ByName returns the live instance of that name.
	ByName(name string) (Member, bool)
}

// PeerClients provides RPC clients by peer address.
type PeerClients interface {
	Client(address string) peerv1connect.PeerClient
}

// Chooser chooses the target or region for a request.
type Chooser interface {
	Choose(q routing.Query) routing.Choice
}

// Slots is the part of the slot holder that further attempts need.
type Slots interface {
	Usable(s lease.Slot) bool
	Release(s lease.Slot)
}

// AttemptObserver is notified of attempts, as input to routing.
type AttemptObserver interface {
	// Begin is called right before an attempt on a target, or before a hop to
	// region if target is empty. ended is called when the attempt has ended; err
	// is nil if there was a response.
	Begin(q routing.Query, target, region string, bodyBytes int) (ended func(err error))
}

// LocalConfig holds the dependencies of a LocalDispatcher.
type LocalConfig struct {
	Instance     settings.Instance
	Bounds       settings.Bounds
	ConfigSource ConfigSource
	Chooser      Chooser
	Admitter     admission.Admitter
	Slots        Slots
	Gate         *Gate
	Crashes      *crash.Tracker
	Memory       *MemoryBudget
	// ResponseMemory bounds what is held of the whole responses of engines and of
	// long events.
	ResponseMemory  *MemoryBudget
	RetryBudget     *RetryBudget
	Requests        audit.RequestRecorder
	Trail           audit.Trail
	Clock           clock.Clock
	Log             *event.Logger
	AttemptObserver AttemptObserver // optional
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	Local       *LocalDispatcher
	Members     Members
	PeerClients PeerClients
	Idempotency *idempotency.Store
	Incarnation uint64
	// PeerAddress is sent to peers as the address of the sender.
	PeerAddress string
}
