package routing

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// Query describes the request that a choice is made for.
type Query struct {
	Team    string
	Model   string // engines
	Service string // plain services
	// PrefixHashes are the hashes of the prompt's prefixes, shortest first.
	PrefixHashes []uint64
	PromptTokens int
	OutputTokens int
	// AllowedRegions are the regions in which residency lets the request run.
	AllowedRegions map[string]bool
	// Exclude holds the targets and regions on which earlier attempts failed.
	Exclude map[string]bool
	// LocalOnly is set for forwarded requests, which must not be forwarded again.
	LocalOnly bool
}

// TargetView is the estimated state of a target of the local region.
type TargetView struct {
	Target  *config.Target
	Live    bool // neither leaving nor suspected
	Running int  // last report plus this instance's dispatches since
	Queued  int
	// CachedTokens estimates how many tokens of the query's prompt are in the
	// target's prefix cache.
	CachedTokens int
	// PendingTokens estimates the prompt tokens that the target has not processed
	// yet: those of the last report and of this instance's dispatches since, less
	// what the target can have processed in the meantime.
	PendingTokens int
	// FreeSlots is the number of idle slots that the instance holds; negative if
	// unknown.
	FreeSlots int
}

// RegionView is the estimated state of a remote region.
type RegionView struct {
	Region string
	// Reachable is true if the region has a live instance that responds.
	Reachable bool
	Link      *config.Link
	// Capacity is that for the query's model or service. FreeSlots is the portion
	// of its free slots that this instance may use; negative if the region's
	// status is unknown or too old.
	FreeSlots, Capacity int
	// Stale is true if the status is missing or old enough to be fetched again.
	Stale bool
	// Spilling is true while requests for this model or service are forwarded
	// there because the local region lacks capacity. Forwarding then continues as
	// long as the region is no worse than the local one.
	Spilling bool
	// InFlight is the number of this instance's requests forwarded there.
	InFlight int
	// LinkLoad is the fraction of this instance's link budget in use: 0 if idle,
	// above 1 if the budget is overdrawn.
	LinkLoad float64
}

// View is a snapshot of what the instance knows or estimates about targets and
// regions.
type View struct {
	Region  string
	Targets []TargetView
	Regions []RegionView
	// LocalWait is the expected wait for a slot in the local region.
	LocalWait time.Duration
	// MeanOutput is the mean of OutputTokens over recent requests for this model or
	// service, 0 if unknown. A request with more occupies a slot for longer.
	MeanOutput float64
	// TieSeed breaks ties. It differs from view to view, so that instances that
	// see the same old figures choose differently.
	TieSeed uint64
	// InstanceSeed is constant for an instance; see instanceBiasSeconds.
	InstanceSeed uint64
}

// Choice is the result of Choose.
type Choice struct {
	// Targets are those of the local region in order of preference; empty if the
	// request should be forwarded to Region.
	Targets []string
	// Region to forward to; empty for the local region.
	Region string
	// RefreshRegions lists the regions whose status should be fetched because it
	// matters for the choice and is unknown, stale or shows no free slots. It never
	// holds a region outside Query.AllowedRegions.
	RefreshRegions []string
	// Breach is set if the choice was dropped because it was outside the allowed
	// regions or would have forwarded a request a second time. It indicates a bug
	// in Choose.
	Breach bool
	// Reasons has one line per candidate, with the figures that were used.
	Reasons []string
}
