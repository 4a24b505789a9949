package config

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Digest is the SHA-256 of the text of a table.
type Digest [sha256.Size]byte

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// Config is one accepted version of the table. It is immutable.
type Config struct {
	// Revision is set by the configuration service; 0 for a table that was
	// parsed offline.
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
	// Share of every team's rate and burst; the sum over regions is at most 1.
	Share float64
	// PreviousShare is set while Share is being changed, else nil. It may be
	// 0, for a region that was not published before.
	PreviousShare *float64
	// Voters are the peer addresses (IP:port) that vote in this region.
	Voters []string
	// PreviousVoters is set while Seats is being changed; a grantor then needs
	// a majority of both lists.
	PreviousVoters []string
	// Shards is the number of terms over which teams and targets are spread.
	Shards int
}

// EffectiveShare is the share in force: the smaller of Share and PreviousShare,
// so that a region that has heard of a change and one that has not never add
// up to more than the whole.
func (r *Region) EffectiveShare() float64 {
	if r.PreviousShare != nil {
		return min(r.Share, *r.PreviousShare)
	}
	return r.Share
}

// LinkID names the pair of regions of a link, in lexical order.
type LinkID struct{ A, B string }

// NewLinkID orders the two names.
func NewLinkID(a, b string) LinkID {
	if a > b {
		a, b = b, a
	}
	return LinkID{a, b}
}

// Link is a `[link A B]` section.
type Link struct {
	ID LinkID
	// Bandwidth in bits per second, each way.
	Bandwidth float64
	// Delay is the one-way delay.
	Delay time.Duration
	// Cost per gigabyte, in the operators' unit.
	Cost float64
}

// Residency is a `[residency NAME]` section: the regions a request may be in.
type Residency struct {
	Name    string
	Regions map[string]bool
}

// Team is a `[team NAME]` section.
type Team struct {
	Name string
	// Weight of the team where teams compete.
	Weight float64
	// Rate in tokens per second and Burst in tokens, over all instances.
	Rate, Burst float64
	// Residency is empty for "any region".
	Residency string
	// Routes the team may use; empty: all.
	Routes map[string]bool
	// Models the team may use; empty: all.
	Models map[string]bool
}

// Key is a `[key NAME]` section. A key that is not listed is withdrawn.
type Key struct {
	Name string
	Team string
	Hash KeyHash
}

// Model is a `[model NAME]` section.
type Model struct {
	Name string
	// MaxOutput bounds and defaults the output tokens of one request.
	MaxOutput int
	// MaxRun bounds the run time of one request; it is sent to the engine.
	MaxRun    time.Duration
	Residency string
}

// Service is a `[service NAME]` section: a plain service.
type Service struct {
	Name   string
	MaxRun time.Duration
}

// Route is a `[route NAME]` section: requests to a plain service.
type Route struct {
	Name    string
	Prefix  string
	Service string
	// Idempotent lists the methods whose requests may be repeated.
	Idempotent map[string]bool
	// Methods lists all methods of the route.
	Methods map[string]bool
	// Open routes need no key.
	Open bool
	// Tokens debited for each request; 0 for none.
	Tokens    float64
	Residency string
}

// TargetKind tells a model engine from a plain service.
type TargetKind int

const (
	// Engine is a model engine.
	Engine TargetKind = iota + 1
	// Plain is a replica of a plain service.
	Plain
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
	// Capacity is the largest number of requests in flight.
	Capacity int
	// ChecksFencing says that the engine refuses orders with old fencing numbers.
	ChecksFencing bool
}

// Policy is the `[policy]` section: what operators weigh.
type Policy struct {
	// Weights of the measures in the choice of a target; not negative.
	CostWeight, SentAwayWeight, LatencyWeight, WorstTeamWeight float64
	// QueueWait is the longest time a request may wait for tokens or a slot.
	QueueWait time.Duration
	// HopSlots bounds the streams to each other region.
	HopSlots int
}

// RouteFor returns the route with the longest prefix of path. A prefix ends
// where a path segment ends: /orders is no prefix of /orders-internal.
func (e *Config) RouteFor(path string) *Route {
	for _, r := range e.Routes {
		rest, ok := strings.CutPrefix(path, r.Prefix)
		if ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Prefix, "/")) {
			return r
		}
	}
	return nil
}

// Allowed returns the regions in which team may be served for a rule named
// residency by a model or route. Empty names allow every region.
func (e *Config) Allowed(teamRule, otherRule string) map[string]bool {
	out := make(map[string]bool, len(e.Regions))
	for name := range e.Regions {
		if e.permits(teamRule, name) && e.permits(otherRule, name) {
			out[name] = true
		}
	}
	return out
}

func (e *Config) permits(rule, region string) bool {
	if rule == "" {
		return true
	}
	r, ok := e.Residency[rule]
	return ok && r.Regions[region]
}
