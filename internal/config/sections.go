package config

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

// Bounds and defaults of values.
const (
	maxRate          = 1e9  // tokens per second
	maxBurst         = 1e12 // tokens
	maxWeight        = 1e6
	maxOutputTokens  = 1_000_000
	maxRunTime       = 24 * time.Hour
	defaultModelRun  = 10 * time.Minute
	defaultPlainRun  = 30 * time.Second
	maxCapacity      = 100_000 // requests in flight
	maxHopSlots      = 100_000 // streams
	defaultHopSlots  = 64
	defaultQueueWait = 10 * time.Second
	maxQueueWait     = 10 * time.Minute
	maxDelay         = 10 * time.Second
	maxCost          = 1e6
	maxPrefix        = 256 // bytes
)

var methodNames = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (p *parser) region(s named) {
	s.Require("seats")
	r := &Region{
		Name:           s.name,
		Share:          s.Float("share", -1, 0, 1),
		Voters:         s.Addresses("seats", maxSeats),
		PreviousVoters: s.Addresses("previous_seats", maxSeats),
		Shards:         s.Int("shards", 1, 1, maxShards),
	}
	if previous := s.Float("previous_share", -1, 0, 1); previous >= 0 {
		r.PreviousShare = &previous
	}
	p.e.Regions[s.name] = r
}

func (p *parser) link(s named) {
	s.Require("bandwidth", "delay")
	a, b, _ := strings.Cut(s.name, " ")
	for _, name := range []string{a, b} {
		if !p.names["region"][name] {
			s.Fault("", "there is no section [region %s]", name)
		}
	}
	id := NewLinkID(a, b)
	if a == b {
		s.Fault("", "a link joins two regions")
	}
	if p.e.Links[id] != nil {
		s.Fault("", "the link between %s and %s is published twice", id.A, id.B)
	}
	p.e.Links[id] = &Link{
		ID:        id,
		Bandwidth: bandwidth(s, "bandwidth"),
		Delay:     s.Duration("delay", 0, 0, maxDelay),
		Cost:      s.Float("cost", 0, 0, maxCost),
	}
}

// bandwidth reads bits per second with a unit.
func bandwidth(s named, key string) float64 {
	v := s.Text(key, "")
	if v == "" {
		return 0
	}
	for _, unit := range []struct {
		name string
		bits float64
	}{{"kbit", 1e3}, {"Mbit", 1e6}, {"Gbit", 1e9}} {
		digits, ok := strings.CutSuffix(v, unit.name)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(digits, 10, 20); err == nil && n > 0 {
			return float64(n) * unit.bits
		}
	}
	s.Fault(key, "%q is not accepted; accepted: a whole number with kbit, Mbit or Gbit, such as 140Mbit", v)
	return 0
}

func (p *parser) residency(s named) {
	s.Require("regions")
	p.e.Residency[s.name] = &Residency{Name: s.name, Regions: p.refs(s, "regions", "region")}
}

func (p *parser) team(s named) {
	s.Require("rate", "burst")
	p.e.Teams[s.name] = &Team{
		Name:      s.name,
		Weight:    s.Float("weight", 1, 0.001, maxWeight),
		Rate:      s.Float("rate", 0, 0, maxRate),
		Burst:     s.Float("burst", 0, 1, maxBurst),
		Residency: p.ref(s, "residency", "residency"),
		Routes:    p.refs(s, "routes", "route"),
		Models:    p.refs(s, "models", "model"),
	}
}

func (p *parser) key(s named) {
	s.Require("team", "sha256")
	k := &Key{Name: s.name, Team: p.ref(s, "team", "team")}
	text := s.Text("sha256", "")
	if text == "" {
		return
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(k.Hash) || text != strings.ToLower(text) {
		// The value may be a key pasted by mistake; it must not reach a log.
		s.Fault("sha256", "accepted: %d lower-case hexadecimal digits", 2*len(k.Hash))
		return
	}
	copy(k.Hash[:], raw)
	if other := p.e.Keys[k.Hash]; other != nil {
		s.Fault("sha256", "the same hash is published as [key %s]", other.Name)
		return
	}
	p.e.Keys[k.Hash] = k
}

func (p *parser) model(s named) {
	s.Require("max_output")
	p.e.Models[s.name] = &Model{
		Name:      s.name,
		MaxOutput: s.Int("max_output", 1, 1, maxOutputTokens),
		MaxRun:    s.Duration("max_run", defaultModelRun, time.Millisecond, maxRunTime),
		Residency: p.ref(s, "residency", "residency"),
	}
}

func (p *parser) service(s named) {
	p.e.Services[s.name] = &Service{Name: s.name, MaxRun: s.Duration("max_run", defaultPlainRun, time.Millisecond, maxRunTime)}
}

func (p *parser) route(s named) {
	s.Require("prefix", "service", "methods")
	r := &Route{
		Name:       s.name,
		Prefix:     s.Text("prefix", ""),
		Service:    p.ref(s, "service", "service"),
		Methods:    methods(s, "methods"),
		Idempotent: methods(s, "idempotent"),
		Open:       s.Bool("open", false),
		Tokens:     s.Float("tokens", 0, 0, maxBurst),
		Residency:  p.ref(s, "residency", "residency"),
	}
	if s.Has("prefix") {
		p.checkPrefix(s, r.Prefix)
	}
	for _, m := range methodNames {
		if r.Idempotent[m] && !r.Methods[m] {
			s.Fault("idempotent", "%s is not listed in methods", m)
		}
	}
	if r.Open && r.Tokens > 0 {
		s.Fault("tokens", "an open route has no team to debit")
	}
	p.e.Routes = append(p.e.Routes, r)
}

// checkPrefix refuses prefixes that would never match or would shadow the
// paths that every instance answers itself.
func (p *parser) checkPrefix(s named, prefix string) {
	switch {
	case prefix[0] != '/' || len(prefix) > maxPrefix || strings.ContainsAny(prefix, "?# %*") || strings.Contains(prefix, "//") || strings.Contains(prefix, "/."):
		s.Fault("prefix", "%q is not accepted; accepted: a plain path that starts with /, at most %d bytes", prefix, maxPrefix)
	case prefix == "/" || prefix == "/v1" || strings.HasPrefix(prefix, "/v1/"):
		s.Fault("prefix", "%q would cover paths under /v1/ that instances answer themselves", prefix)
	}
	for _, other := range p.e.Routes {
		if strings.TrimSuffix(other.Prefix, "/") == strings.TrimSuffix(prefix, "/") {
			s.Fault("prefix", "the same prefix is published as [route %s]", other.Name)
		}
	}
}

func methods(s named, key string) map[string]bool {
	set := make(map[string]bool)
	for _, m := range s.List(key, len(methodNames)) {
		known := false
		for _, name := range methodNames {
			known = known || name == m
		}
		if !known {
			s.Fault(key, "%q is not accepted; accepted: %s", m, strings.Join(methodNames, ", "))
		}
		set[m] = true
	}
	return set
}

func (p *parser) target(s named) {
	s.Require("kind", "address", "region", "domain", "capacity")
	t := &Target{
		Name:          s.name,
		Address:       s.Address("address"),
		Region:        p.ref(s, "region", "region"),
		Domain:        s.Ref("domain"),
		Models:        p.refs(s, "models", "model"),
		Service:       p.ref(s, "service", "service"),
		Capacity:      s.Int("capacity", 1, 1, maxCapacity),
		ChecksFencing: s.Bool("checks_fencing", false),
	}
	switch s.OneOf("kind", "", "engine", "service") {
	case "engine":
		t.Kind = Engine
		s.Require("models")
		if s.Has("service") {
			s.Fault("service", "a target of kind engine has models and no service")
		}
	case "service":
		t.Kind = Plain
		s.Require("service")
		for _, key := range []string{"models", "checks_fencing"} {
			if s.Has(key) {
				s.Fault(key, "only targets of kind engine have this key")
			}
		}
	}
	p.e.Targets[s.name] = t
}

func (p *parser) policy(s named) {
	p.e.Policy = Policy{
		CostWeight:      s.Float("cost_weight", 1, 0, maxWeight),
		SentAwayWeight:  s.Float("sent_away_weight", 1, 0, maxWeight),
		LatencyWeight:   s.Float("latency_weight", 1, 0, maxWeight),
		WorstTeamWeight: s.Float("worst_team_weight", 1, 0, maxWeight),
		QueueWait:       s.Duration("queue_wait", defaultQueueWait, time.Millisecond, maxQueueWait),
		HopSlots:        s.Int("hop_slots", defaultHopSlots, 0, maxHopSlots),
	}
}
