package site

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
	// Keys maps the hash of a key, in hexadecimal, to the name of its team.
	Keys   map[string]string
	Limits Limits
}

// Kind says what may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests run at most once.
	Once
	// Stream requests are answered by events; they run at most once unless the
	// route says that they can be resumed.
	Stream
)

// Route selects requests by host and path.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Resumable streams go on at another target after the last event delivered.
	Resumable bool
	// Timeout is the longest time from arrival to the end of the answer.
	Timeout time.Duration
	// Objective is the time to the first byte for which an answer is on time.
	Objective time.Duration
	// GapObjective is the longest pause between events of a timely stream.
	GapObjective time.Duration
	// MaxTargets bounds the targets that run one request.
	MaxTargets int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Split    []Weighted
	// Open routes need no key.
	Open bool
	// Prompts is set if requests carry prompts, whose parts engines cache.
	Prompts bool
	// Homes are the regions in which requests may run; empty for all.
	Homes []string
}

// Weighted is a service and its part of a route's requests.
type Weighted struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

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
	// CacheTokens is the memory for running requests and cached parts.
	CacheTokens int
	// TokenBytes is the memory of one cached token, and LinkBytesPerSecond the
	// speed at which engines copy it from each other; 0 if they do not.
	TokenBytes, LinkBytesPerSecond float64
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
	ByTokens      bool
	DefaultTokens float64
	Homes         []string
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

// PriorityOf returns the rank of a request; 0 is the most urgent. team may be
// nil.
func (r *Route) PriorityOf(t *Team) int {
	if t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}

// Permits reports whether a request of route and team may run in region. team
// may be nil.
func Permits(r *Route, t *Team, region string) bool {
	return within(r.Homes, region) && (t == nil || within(t.Homes, region))
}

func within(homes []string, region string) bool {
	for _, h := range homes {
		if h == region {
			return true
		}
	}
	return len(homes) == 0
}
