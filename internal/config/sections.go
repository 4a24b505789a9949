package config

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

// Limits and defaults of values.
const (
	maxRate              = 1e9  // tokens per second
	maxBurst             = 1e12 // tokens
	maxWeight            = 1e6
	maxOutputTokens      = 1_000_000
	maxRunTime           = 24 * time.Hour
	defaultModelMaxRun   = 10 * time.Minute
	defaultServiceMaxRun = 30 * time.Second
	maxCapacity          = 100_000 // requests in flight
	maxHopSlots          = 100_000 // streams
	defaultHopSlots      = 64
	defaultQueueWait     = 10 * time.Second
	maxQueueWait         = 10 * time.Minute
	maxLinkDelay         = 10 * time.Second
	maxLinkCost          = 1e6
	maxPrefixBytes       = 256
)

var methodNames = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (p *parser) parseRegion(s sectionReader) {
	s.Require("seats")
	r := &Region{
		Name:           s.shortName,
		Share:          s.Float("share", -1, 0, 1),
		Voters:         s.Addresses("seats", maxVoters),
		PreviousVoters: s.Addresses("previous_seats", maxVoters),
		Shards:         s.Int("shards", 1, 1, maxShards),
	}
	if previous := s.Float("previous_share", -1, 0, 1); previous >= 0 {
		r.PreviousShare = &previous
	}
	p.cfg.Regions[s.shortName] = r
}

func (p *parser) parseLink(s sectionReader) {
	s.Require("bandwidth", "delay")
	a, b, _ := strings.Cut(s.shortName, " ")
	for _, name := range []string{a, b} {
		if !p.names["region"][name] {
			s.Fault("", "there is no section [region %s]", name)
		}
	}
	id := NewLinkID(a, b)
	if a == b {
		s.Fault("", "a link must connect two different regions")
	}
	if p.cfg.Links[id] != nil {
		s.Fault("", "the link between %s and %s is published twice", id.A, id.B)
	}
	p.cfg.Links[id] = &Link{
		ID:        id,
		Bandwidth: parseBandwidth(s, "bandwidth"),
		Delay:     s.Duration("delay", 0, 0, maxLinkDelay),
		Cost:      s.Float("cost", 0, 0, maxLinkCost),
	}
}

// parseBandwidth reads a bandwidth with a unit and returns it in bits per
// second.
func parseBandwidth(s sectionReader, key string) float64 {
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

func (p *parser) parseResidency(s sectionReader) {
	s.Require("regions")
	p.cfg.Residency[s.shortName] = &Residency{Name: s.shortName, Regions: p.refs(s, "regions", "region")}
}

func (p *parser) parseTeam(s sectionReader) {
	s.Require("rate", "burst")
	p.cfg.Teams[s.shortName] = &Team{
		Name:      s.shortName,
		Weight:    s.Float("weight", 1, 0.001, maxWeight),
		Rate:      s.Float("rate", 0, 0, maxRate),
		Burst:     s.Float("burst", 0, 1, maxBurst),
		Residency: p.ref(s, "residency", "residency"),
		Routes:    p.refs(s, "routes", "route"),
		Models:    p.refs(s, "models", "model"),
	}
}

func (p *parser) parseKey(s sectionReader) {
	s.Require("team", "sha256")
	k := &Key{Name: s.shortName, Team: p.ref(s, "team", "team")}
	text := s.Text("sha256", "")
	if text == "" {
		return
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(k.Hash) || text != strings.ToLower(text) {
		// The value may be a key that was pasted by mistake, so the message must
		// not repeat it: messages are logged.
		s.Fault("sha256", "accepted: %d lower-case hexadecimal digits", 2*len(k.Hash))
		return
	}
	copy(k.Hash[:], raw)
	if other := p.cfg.Keys[k.Hash]; other != nil {
		s.Fault("sha256", "the same hash is published as [key %s]", other.Name)
		return
	}
	p.cfg.Keys[k.Hash] = k
}

func (p *parser) parseModel(s sectionReader) {
	s.Require("max_output")
	p.cfg.Models[s.shortName] = &Model{
		Name:      s.shortName,
		MaxOutput: s.Int("max_output", 1, 1, maxOutputTokens),
		MaxRun:    s.Duration("max_run", defaultModelMaxRun, time.Millisecond, maxRunTime),
		Residency: p.ref(s, "residency", "residency"),
	}
}

func (p *parser) parseService(s sectionReader) {
	p.cfg.Services[s.shortName] = &Service{Name: s.shortName, MaxRun: s.Duration("max_run", defaultServiceMaxRun, time.Millisecond, maxRunTime)}
}

func (p *parser) parseRoute(s sectionReader) {
	s.Require("prefix", "service", "methods")
	r := &Route{
		Name:       s.shortName,
		Prefix:     s.Text("prefix", ""),
		Service:    p.ref(s, "service", "service"),
		Methods:    parseMethods(s, "methods"),
		Idempotent: parseMethods(s, "idempotent"),
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
	p.cfg.Routes = append(p.cfg.Routes, r)
}

// checkPrefix rejects prefixes that would never match and prefixes that would
// shadow the paths that every instance serves itself.
func (p *parser) checkPrefix(s sectionReader, prefix string) {
	switch {
	case prefix[0] != '/' || len(prefix) > maxPrefixBytes || strings.ContainsAny(prefix, "?# %*") || strings.Contains(prefix, "//") || strings.Contains(prefix, "/."):
		s.Fault("prefix", "%q is not accepted; accepted: a plain path that starts with /, at most %d bytes", prefix, maxPrefixBytes)
	case prefix == "/" || prefix == "/v1" || strings.HasPrefix(prefix, "/v1/"):
		s.Fault("prefix", "%q would cover paths under /v1/ that instances serve themselves", prefix)
	}
	for _, other := range p.cfg.Routes {
		if strings.TrimSuffix(other.Prefix, "/") == strings.TrimSuffix(prefix, "/") {
			s.Fault("prefix", "the same prefix is published as [route %s]", other.Name)
		}
	}
}

func parseMethods(s sectionReader, key string) map[string]bool {
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

func (p *parser) parseTarget(s sectionReader) {
	s.Require("kind", "address", "region", "domain", "capacity")
	t := &Target{
		Name:          s.shortName,
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
		t.Kind = PlainService
		s.Require("service")
		for _, key := range []string{"models", "checks_fencing"} {
			if s.Has(key) {
				s.Fault(key, "only targets of kind engine have this key")
			}
		}
	}
	p.cfg.Targets[s.shortName] = t
}

func (p *parser) parsePolicy(s sectionReader) {
	p.cfg.Policy = Policy{
		CostWeight:      s.Float("cost_weight", 1, 0, maxWeight),
		RemoteWeight:    s.Float("sent_away_weight", 1, 0, maxWeight),
		LatencyWeight:   s.Float("latency_weight", 1, 0, maxWeight),
		WorstTeamWeight: s.Float("worst_team_weight", 1, 0, maxWeight),
		MaxQueueWait:    s.Duration("queue_wait", defaultQueueWait, time.Millisecond, maxQueueWait),
		HopSlots:        s.Int("hop_slots", defaultHopSlots, 0, maxHopSlots),
	}
}
