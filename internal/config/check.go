package config

import (
	"maps"
	"slices"
)

// shareTolerance absorbs the rounding of shares written in decimal, such as
// 0.333.
const shareTolerance = 1e-9

// outstandingDivisor bounds the outstanding leases of a team: they hold at most
// half of its burst, so a request that needs more is never admitted.
const outstandingDivisor = 2

// crossCheck runs the checks that involve more than one section.
func (p *parser) crossCheck() {
	if len(p.sectionsByKind["region"]) == 0 {
		p.faults.Add(0, "there is no [region N] section")
	}
	p.checkShares()
	p.checkAddresses()
	for _, s := range p.sectionsByKind["residency"] {
		if s.Has("regions") && !p.containsKnownRegion(p.cfg.Residency[s.shortName].Regions) {
			s.Fault("regions", "the rule allows no region")
		}
	}
	for _, s := range p.sectionsByKind["team"] {
		p.checkTeam(s, p.cfg.Teams[s.shortName])
	}
}

func (p *parser) containsKnownRegion(set map[string]bool) bool {
	for name := range set {
		if p.names["region"][name] {
			return true
		}
	}
	return false
}

// checkShares checks that the shares of all regions sum to at most 1. If no
// region states a share, it assigns equal shares.
func (p *parser) checkShares() {
	regions := p.sectionsByKind["region"]
	stated, sum, previous := 0, 0.0, 0.0
	for _, s := range regions {
		r := p.cfg.Regions[s.shortName]
		if s.Has("share") {
			stated++
			sum += max(r.Share, 0)
		}
		if r.PreviousShare != nil {
			previous += *r.PreviousShare
		}
	}
	for _, s := range regions {
		switch {
		case stated == 0:
			p.cfg.Regions[s.shortName].Share = 1 / float64(len(regions))
		case !s.Has("share"):
			s.Fault("share", "other regions state a share, so this one must too")
		case sum > 1+shareTolerance:
			s.Fault("share", "the shares of all regions sum to %.6g; at most 1 is accepted", sum)
		}
		if previous > 1+shareTolerance && s.Has("previous_share") {
			s.Fault("previous_share", "the previous shares of all regions sum to %.6g; at most 1 is accepted", previous)
		}
	}
}

// checkAddresses rejects an address that is used by two sections. A voter may
// be listed in both seats and previous_seats of its own region.
func (p *parser) checkAddresses() {
	owner := make(map[string]string)
	for _, s := range p.sectionsByKind["region"] {
		r := p.cfg.Regions[s.shortName]
		for _, list := range []struct {
			key       string
			addresses []string
		}{{"seats", r.Voters}, {"previous_seats", r.PreviousVoters}} {
			for _, address := range list.addresses {
				p.claimAddress(owner, s, list.key, address)
			}
		}
	}
	for _, s := range p.sectionsByKind["target"] {
		if address := p.cfg.Targets[s.shortName].Address; address != "" {
			p.claimAddress(owner, s, "address", address)
		}
	}
}

func (p *parser) claimAddress(owner map[string]string, s sectionReader, key, address string) {
	if other, ok := owner[address]; ok && other != s.Name {
		s.Fault(key, "%s is the address of [%s] too", address, other)
		return
	}
	owner[address] = s.Name
}

// checkTeam rejects a team that could never be served as published.
func (p *parser) checkTeam(s sectionReader, t *Team) {
	need, largest := 0.0, ""
	for _, other := range p.sectionsByKind["model"] {
		m := p.cfg.Models[other.shortName]
		if len(t.Models) > 0 && !t.Models[m.Name] {
			continue
		}
		// A prompt has at least one token.
		if n := float64(m.MaxOutput + 1); n > need {
			need, largest = n, other.Name
		}
		if t.Models[m.Name] {
			p.checkCommonRegion(s, "models", t.Residency, m.Residency, other.Name)
		}
	}
	for i, other := range p.sectionsByKind["route"] {
		r := p.cfg.Routes[i]
		if r.Open || len(t.Routes) > 0 && !t.Routes[r.Name] {
			continue
		}
		if r.Tokens > need {
			need, largest = r.Tokens, other.Name
		}
		if t.Routes[r.Name] {
			p.checkCommonRegion(s, "routes", t.Residency, r.Residency, other.Name)
		}
	}
	if half := t.Burst / outstandingDivisor; s.Has("burst") && half < need {
		s.Fault("burst", "one request to [%s] may need %g tokens, and at most half of the burst, %g, can be granted", largest, need, half)
	}
}

// checkCommonRegion rejects a model or route listed for a team if the residency
// rules of the two have no region in common.
func (p *parser) checkCommonRegion(s sectionReader, key, teamRule, otherRule, section string) {
	known := func(rule string) bool { return rule == "" || p.cfg.Residency[rule] != nil }
	if known(teamRule) && known(otherRule) && len(p.cfg.AllowedRegions(teamRule, otherRule)) == 0 {
		s.Fault(key, "the residency rules of the team and of [%s] allow no common region", section)
	}
}

func sortedNames[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
