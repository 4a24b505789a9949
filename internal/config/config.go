package config

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Digest is the SHA-256 of a configuration's text.
type Digest [sha256.Size]byte

// KeyHash is the SHA-256 of a caller's API key.
type KeyHash [sha256.Size]byte

// Config is one accepted version of the configuration. It is immutable.
type Config struct {
	// Revision is assigned by the configuration service; 0 for a text that
	// was parsed offline.
	Revision int64
	Digest   Digest
	Text     []byte

	Regions   map[string]*Region
	Links     map[LinkID]*Link
	Residency map[string]*Residency
	Teams     map[string]*Team
	Keys      map[KeyHash]*Key
	Models    map[string]*Model
	Services  map[string]*Service
	Routes    []*Route // longest prefix first
	Targets   map[string]*Target
	Policy    Policy
}

// Region is a `[region NAME]` section.
type Region struct {
	Name string
	// Share is the fraction of every team's rate and burst that the region
	// may use; the sum over all regions is at most 1.
	Share float64
	// PreviousShare is set while Share is being changed, otherwise nil. It may
	// be 0, for a region that is being added.
	PreviousShare *float64
	// Voters are the peer addresses (IP:port) that vote for the region's
	// leaders.
	Voters []string
	// PreviousVoters is set while Voters is being changed; a leader then needs
	// a majority of each of the two lists.
	PreviousVoters []string
	// Shards is the number of shards, each with a leadership lease of its own,
	// over which the region's teams and targets are distributed.
	Shards int
}

// EffectiveShare returns the share that the region may use now. During a
// change it is the smaller of Share and PreviousShare, so that the shares stay
// at or below 1 in total while only some regions have received the change.
func (r *Region) EffectiveShare() float64 {
	if r.PreviousShare != nil {
		return min(r.Share, *r.PreviousShare)
	}
	return r.Share
}

// LinkID identifies a link by its two regions, in lexical order.
type LinkID struct{ A, B string }

// NewLinkID returns the ID of the link between a and b, given in either order.
func NewLinkID(a, b string) LinkID {
	if a > b {
		a, b = b, a
	}
	return LinkID{a, b}
}

// Link is a `[link A B]` section.
type Link struct {
	ID LinkID
	// Bandwidth is in bits per second, in each direction.
	Bandwidth float64
	// Delay is the one-way delay.
	Delay time.Duration
	// Cost is per gigabyte, in a unit of the operators' choice.
	Cost float64
}

// Residency is a `[residency NAME]` section: a rule that lists the regions in
// which a request may be processed.
type Residency struct {
	Name    string
	Regions map[string]bool
}

// Team is a `[team NAME]` section.
type Team struct {
	Name string
	// Weight is the team's weight where teams compete for capacity.
	Weight float64
	// Rate is in tokens per second and Burst in tokens, for all instances
	// together.
	Rate, Burst float64
	// Residency names a residency rule; empty allows any region.
	Residency string
	// Routes are the routes that the team may use; empty allows all.
	Routes map[string]bool
	// Models are the models that the team may use; empty allows all.
	Models map[string]bool
}

// Key is a `[key NAME]` section. A key is revoked by removing its section.
type Key struct {
	Name string
	Team string
	Hash KeyHash
}

// Model is a `[model NAME]` section.
type Model struct {
	Name string
	// MaxOutput is the limit and the default for the output tokens of one
	// request.
	MaxOutput int
	// MaxRun limits the run time of one request; it is sent to the engine.
	MaxRun    time.Duration
	Residency string
}

// Service is a `[service NAME]` section: an HTTP service that is not a model
// engine.
type Service struct {
	Name   string
	MaxRun time.Duration
}

// Route is a `[route NAME]` section: it maps a path prefix to a plain service.
type Route struct {
	Name    string
	Prefix  string
	Service string
	// Idempotent lists the methods whose requests may be retried.
	Idempotent map[string]bool
	// Methods lists all methods of the route.
	Methods map[string]bool
	// Open routes may be called without a key.
	Open bool
	// Tokens is the number of tokens debited for each request; 0 for none.
	Tokens    float64
	Residency string
}

// TargetKind distinguishes model engines from plain services.
type TargetKind int

const (
	// Engine is a model engine.
	Engine TargetKind = iota + 1
	// PlainService is a replica of a plain service.
	PlainService
)

// Target is a `[target NAME]` section.
type Target struct {
	Name    string
	Kind    TargetKind
	Address string // IP:port
	Region  string
	Domain  string
	Models  map[string]bool // engines
	Service string          // plain services
	// Capacity is the maximum number of requests in flight.
	Capacity int
	// ChecksFencing is set if the engine refuses commands with an outdated
	// fencing token.
	ChecksFencing bool
}

// Policy is the `[policy]` section: the operators' preferences for placement.
type Policy struct {
	// Weights of the criteria for the choice of a target; not negative.
	CostWeight, RemoteWeight, LatencyWeight, WorstTeamWeight float64
	// MaxQueueWait is the maximum time a request may wait for tokens or a slot.
	MaxQueueWait time.Duration
	// HopSlots limits the concurrent streams to each remote region.
	HopSlots int
}

// RouteFor returns the route with the longest matching prefix of path, or nil.
// Prefixes match whole path segments: /orders does not match /orders-internal.
func (c *Config) RouteFor(path string) *Route {
	for _, r := range c.Routes {
		rest, ok := strings.CutPrefix(path, r.Prefix)
		if ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Prefix, "/")) {
			return r
		}
	}
	return nil
}

// AllowedRegions returns the regions that are allowed by both the residency
// rule of a team and that of a model or route. An empty rule name allows every
// region; an unknown one allows none.
func (c *Config) AllowedRegions(teamRule, otherRule string) map[string]bool {
	out := make(map[string]bool, len(c.Regions))
	for name := range c.Regions {
		if c.ruleAllows(teamRule, name) && c.ruleAllows(otherRule, name) {
			out[name] = true
		}
	}
	return out
}

func (c *Config) ruleAllows(rule, region string) bool {
	if rule == "" {
		return true
	}
	r, ok := c.Residency[rule]
	return ok && r.Regions[region]
}
