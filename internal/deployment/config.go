package deployment

import (
	"crypto/sha256"
	"strings"
	"time"
)

// KeyHash is the SHA-256 of a caller's API key. The keys themselves are not kept
// when a configuration is decoded.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Config is one version of the configuration that operators publish. It is
// immutable. Instances exchange it as JSON in snapshots of the catalog, so the
// JSON names of its fields must not change.
type Config struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Teams    map[string]*Team
	// TeamByKeyHash maps the hexadecimal hash of an API key to the name of its
	// team.
	TeamByKeyHash map[string]string `json:"Keys"`
	Limits        Limits
}

// RouteKind says how often a request of a route may run.
type RouteKind int

const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream requests get a response of events. They run at most once unless the
	// route is resumable.
	Stream
)

// Route selects requests by host and path.
type Route struct {
	Name, Host, Prefix string
	Kind               RouteKind
	// Resumable streams that break continue at another target after the last
	// event delivered.
	Resumable bool
	// Timeout bounds the time from arrival to the end of the response.
	Timeout time.Duration
	// FirstByteObjective is the time to the first byte within which a response is
	// on time.
	FirstByteObjective time.Duration `json:"Objective"`
	// GapObjective is the longest gap between events of a stream that is on time.
	GapObjective time.Duration
	// MaxTargets bounds the number of targets that may run one request, the first
	// included.
	MaxTargets int
	// Priority is 0 for the most urgent requests; see PriorityFor.
	Priority int
	Split    []WeightedService
	// Open routes need no API key.
	Open bool
	// PromptCaching is set if requests carry prompts whose parts engines cache.
	PromptCaching bool `json:"Prompts"`
	// AllowedRegions are the regions in which requests may run; empty means all.
	AllowedRegions []string `json:"Homes"`
}

// WeightedService is a service and its weight in the split of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections to one target, from all callers together.
	MaxConns int
	// Warmup is the duration of a target's warm-up after its start. WarmupRate is
	// the number of requests per second that it tolerates meanwhile; 0 means no
	// bound.
	Warmup     time.Duration
	WarmupRate float64
	Engine     *Engine // nil for a plain service
}

// Engine describes targets that run inference engines.
type Engine struct {
	// Slots is the size of the largest batch.
	Slots int
	// KVCacheTokens is the capacity of the KV cache, which holds running requests
	// and cached prompt parts.
	KVCacheTokens int `json:"CacheTokens"`
	// KVBytesPerToken is the size of one cached token, and LinkBytesPerSecond the
	// bandwidth at which engines copy cached tokens from each other. Either is 0 if
	// engines do not copy.
	KVBytesPerToken    float64 `json:"TokenBytes"`
	LinkBytesPerSecond float64
}

// Team is a customer.
type Team struct {
	Name string
	// Priority, if set, overrides that of the route.
	Priority *int
	// Rate is the allowance in units per second. Burst is the number of units that
	// an idle team can accumulate. A Rate of 0 means no limit.
	Rate, Burst float64
	// ByTokens is set if the unit is tokens rather than requests. DefaultTokens is
	// charged for a request without token counts.
	ByTokens       bool
	DefaultTokens  float64
	AllowedRegions []string `json:"Homes"`
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteFor returns the route of the host that has the longest matching prefix of
// path, or nil.
func (c *Config) RouteFor(host, path string) *Route {
	var best *Route
	for _, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// PriorityFor returns the priority of a request of team t, which may be nil. 0 is
// the most urgent.
func (r *Route) PriorityFor(t *Team) int {
	if t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}

// RegionAllowed reports whether a request of route r and team t may run in
// region. t may be nil.
func RegionAllowed(r *Route, t *Team, region string) bool {
	return allowsRegion(r.AllowedRegions, region) && (t == nil || allowsRegion(t.AllowedRegions, region))
}

func allowsRegion(allowed []string, region string) bool {
	for _, r := range allowed {
		if r == region {
			return true
		}
	}
	return len(allowed) == 0
}
