package deployment

import (
	"crypto/sha256"
	"strings"
	"time"
)

// KeyHash is the SHA-256 of a caller's key. Keys themselves are dropped when a
// configuration is decoded.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Config is one version of what operators publish. It is immutable.
type Config struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Teams    map[string]*Team
	// TeamByKeyHash maps the hash of a key, in hexadecimal, to the name of its team.
	TeamByKeyHash map[string]string `json:"Keys"`
	Limits        Limits
}

// RouteKind says what may be repeated.
type RouteKind int

const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream requests are answered by events; they run at most once unless the
	// route says that they can be resumed.
	Stream
)

// Route selects requests by host and path.
type Route struct {
	Name, Host, Prefix string
	Kind               RouteKind
	// Resumable streams go on at another target after the last event delivered.
	Resumable bool
	// Timeout is the longest time from arrival to the end of the answer.
	Timeout time.Duration
	// FirstByteObjective is the time to the first byte for which an answer is on time.
	FirstByteObjective time.Duration `json:"Objective"`
	// GapObjective is the longest pause between events of a timely stream.
	GapObjective time.Duration
	// MaxTargets bounds the targets that run one request.
	MaxTargets int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Split    []WeightedService
	// Open routes need no key.
	Open bool
	// PromptCaching is set if requests carry prompts, whose parts engines cache.
	PromptCaching bool `json:"Prompts"`
	// AllowedRegions are the regions in which requests may run; empty for all.
	AllowedRegions []string `json:"Homes"`
}

// WeightedService is a service and its part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service is a group of targets that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections to one target, from all callers together.
	MaxConns int
	// Warmup is how long a target stays cold after its start, and WarmupRate the
	// requests a second that it tolerates meanwhile; 0 for no bound.
	Warmup     time.Duration
	WarmupRate float64
	Engine     *Engine // nil for a plain service
}

// Engine describes targets that run models.
type Engine struct {
	// Slots is the largest batch.
	Slots int
	// KVCacheTokens is the memory for running requests and cached parts.
	KVCacheTokens int `json:"CacheTokens"`
	// KVBytesPerToken is the memory of one cached token, and LinkBytesPerSecond the
	// speed at which engines copy it from each other; 0 if they do not.
	KVBytesPerToken    float64 `json:"TokenBytes"`
	LinkBytesPerSecond float64
}

// Team is a customer.
type Team struct {
	Name string
	// Priority goes before the route's if set.
	Priority *int
	// Rate is the allowance in units a second, and Burst its reserve; 0 means no
	// limit.
	Rate, Burst float64
	// ByTokens is set if the unit is tokens rather than requests, and
	// DefaultTokens is what a request counts that does not say.
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

// RouteFor returns the route of the host with the longest prefix of path.
func (c *Config) RouteFor(host, path string) *Route {
	var best *Route
	for _, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// PriorityFor returns the rank of a request; 0 is the most urgent. team may be
// nil.
func (r *Route) PriorityFor(t *Team) int {
	if t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}

// RegionAllowed reports whether a request of route and team may run in region. team
// may be nil.
func RegionAllowed(r *Route, t *Team, region string) bool {
	return within(r.AllowedRegions, region) && (t == nil || within(t.AllowedRegions, region))
}

func within(homes []string, region string) bool {
	for _, h := range homes {
		if h == region {
			return true
		}
	}
	return len(homes) == 0
}
