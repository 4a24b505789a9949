package routing

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// Query is what a choice depends on besides the tables.
type Query struct {
	Team    string
	Model   string // engines
	Service string // plain services
	// PrefixHashes of the prompt, shortest prefix first.
	PrefixHashes []uint64
	PromptTokens int
	OutputTokens int
	// AllowedRegions regions by residency.
	AllowedRegions map[string]bool
	// Exclude lists targets and regions that failed earlier attempts.
	Exclude map[string]bool
	// LocalOnly is set for forwarded requests: no other region is considered.
	LocalOnly bool
}

// TargetView is what the instance believes about a target of its own region.
type TargetView struct {
	Target  *config.Target
	Live    bool // neither leaving nor suspected
	Running int  // last report plus own dispatches since
	Queued  int
	// CachedTokens of the query's prompt believed to be in the prefix cache.
	CachedTokens int
	// PendingTokens are prompt tokens that the target has probably not processed
	// yet: those of the last report and own dispatches since, less what it can
	// have processed meanwhile.
	PendingTokens int
	// FreeSlots that the instance holds; negative if unknown.
	FreeSlots int
}

// RegionView is what the instance believes about another region.
type RegionView struct {
	Region string
	// Reachable is true if a live instance there answers.
	Reachable bool
	Link      *config.Link
	// Capacity for the query's model or service, and the part of the free slots
	// that this instance may count on; FreeSlots is negative if the region's
	// status is unknown or old.
	FreeSlots, Capacity int
	// Stale is true if a new status can be had.
	Stale bool
	// Spilling is true while requests of this model or service go there because
	// the own region is short. It is then enough that the region is no worse.
	Spilling bool
	// InFlight is the number of own requests forwarded there.
	InFlight int
	// LinkLoad is the use of the link's budget, from 0 to 1.
	LinkLoad float64
}

// View is a snapshot of the instance's beliefs.
type View struct {
	Region  string
	Targets []TargetView
	Regions []RegionView
	// LocalWait is the time a request for this model waits for a slot here.
	LocalWait time.Duration
	// MeanOutput is the mean of OutputTokens of recent requests for this model,
	// 0 if unknown. A request with more occupies a slot for longer.
	MeanOutput float64
	// TieSeed differs from view to view; it separates instances that see the same
	// old figures.
	TieSeed uint64
	// InstanceSeed is constant for an instance; see ownSeconds.
	InstanceSeed uint64
}

// Choice is the decision.
type Choice struct {
	// Targets of the own region in order of preference; empty if the request
	// should go to Region.
	Targets []string
	// Region to forward to; empty for the own region.
	Region string
	// RefreshRegions lists regions whose status matters and is not known, used up or old.
	// It never holds a region outside Query.Allowed.
	RefreshRegions []string
	// Breach is set if the choice was outside the allowed regions and was
	// dropped. It is never set unless Choose has a fault.
	Breach bool
	// Reasons, one line per candidate, with the figures seen.
	Reasons []string
}
