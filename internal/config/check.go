package config

import (
	"maps"
	"slices"
)

// shareTolerance allows for shares such as 0.333 that are written in decimal.
const shareTolerance = 1e-9

// outstandingDivisor: grants of a team that are outstanding are at most half
// of its burst, so no request larger than that is ever admitted.
const outstandingDivisor = 2

// check runs the checks that need more than one section.
func (p *parser) check() {
	if len(p.kinds["region"]) == 0 {
		p.c.Add(0, "there is no [region N] section")
	}
	p.checkShares()
	p.checkAddresses()
	for _, s := range p.kinds["residency"] {
		if s.Has("regions") && !p.anyRegion(p.e.Residency[s.name].Regions) {
			s.Fault("regions", "the rule allows no region")
		}
	}
	for _, s := range p.kinds["team"] {
		p.checkTeam(s, p.e.Teams[s.name])
	}
}

func (p *parser) anyRegion(set map[string]bool) bool {
	for name := range set {
		if p.names["region"][name] {
			return true
		}
	}
	return false
}

// checkShares fills in equal shares if no region states one.
func (p *parser) checkShares() {
	regions := p.kinds["region"]
	stated, sum, previous := 0, 0.0, 0.0
	for _, s := range regions {
		r := p.e.Regions[s.name]
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
			p.e.Regions[s.name].Share = 1 / float64(len(regions))
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

// checkAddresses refuses an address that two sections use. A seat may be
// listed in seats and previous_seats of its own region.
func (p *parser) checkAddresses() {
	owner := make(map[string]string)
	for _, s := range p.kinds["region"] {
		r := p.e.Regions[s.name]
		for _, list := range []struct {
			key   string
			seats []string
		}{{"seats", r.Voters}, {"previous_seats", r.PreviousVoters}} {
			for _, address := range list.seats {
				p.claim(owner, s, list.key, address)
			}
		}
	}
	for _, s := range p.kinds["target"] {
		if address := p.e.Targets[s.name].Address; address != "" {
			p.claim(owner, s, "address", address)
		}
	}
}

func (p *parser) claim(owner map[string]string, s named, key, address string) {
	if other, ok := owner[address]; ok && other != s.Name {
		s.Fault(key, "%s is the address of [%s] too", address, other)
		return
	}
	owner[address] = s.Name
}

// checkTeam refuses teams that could never be served as published.
func (p *parser) checkTeam(s named, t *Team) {
	need, largest := 0.0, ""
	for _, other := range p.kinds["model"] {
		m := p.e.Models[other.name]
		if len(t.Models) > 0 && !t.Models[m.Name] {
			continue
		}
		// A prompt counts at least one token.
		if n := float64(m.MaxOutput + 1); n > need {
			need, largest = n, other.Name
		}
		if t.Models[m.Name] {
			p.checkRules(s, "models", t.Residency, m.Residency, other.Name)
		}
	}
	for i, other := range p.kinds["route"] {
		r := p.e.Routes[i]
		if r.Open || len(t.Routes) > 0 && !t.Routes[r.Name] {
			continue
		}
		if r.Tokens > need {
			need, largest = r.Tokens, other.Name
		}
		if t.Routes[r.Name] {
			p.checkRules(s, "routes", t.Residency, r.Residency, other.Name)
		}
	}
	if half := t.Burst / outstandingDivisor; s.Has("burst") && half < need {
		s.Fault("burst", "one request to [%s] may need %g tokens, and at most half of the burst, %g, can be granted", largest, need, half)
	}
}

// checkRules refuses a model or route listed for a team if the residency rules
// of the two have no region in common.
func (p *parser) checkRules(s named, key, teamRule, otherRule, section string) {
	known := func(rule string) bool { return rule == "" || p.e.Residency[rule] != nil }
	if known(teamRule) && known(otherRule) && len(p.e.Allowed(teamRule, otherRule)) == 0 {
		s.Fault(key, "the residency rules of the team and of [%s] allow no common region", section)
	}
}

func sortedNames[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
