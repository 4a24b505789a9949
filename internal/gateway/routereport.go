package gateway

import (
	"cmp"
	"encoding/hex"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routereport"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// lateRule excludes places at which the request would be late, and urgentRule
	// targets at which it would make more urgent ones late.
	lateRule   = "the request would be refused there: the expected delay is too long"
	urgentRule = "the request would be refused there: the target is left to more urgent requests"
)

// RouteReport says where a request without a body would go now. It uses the code that
// decides about requests, on a copy of the state, and changes nothing. The error is a
// *result.Error for requests that are refused before a service is known.
func (g *Gateway) RouteReport(r *routereport.Request) (*routereport.Report, error) {
	v, now := g.Catalog.Current(), time.Now()
	return g.routeReport(r, v, now, func(c *call) *placement.Query {
		return g.placementQuery(v, c, now)
	})
}

// routeReport is RouteReport for a state and a time. query returns the query for a
// resolved call; what it draws at random decides in the report as for a request.
func (g *Gateway) routeReport(r *routereport.Request, v *catalog.View, now time.Time, query func(*call) *placement.Query) (*routereport.Report, error) {
	c, key := newCall(r.Header, r.Host, r.Method, r.Path, now), platform.ParseRequest(r.Header).APIKey
	if err := c.resolve(v); err != nil {
		return nil, err
	}
	c.setDeadline()
	members := g.Members.Members()
	team := v.Config.Teams[c.team]
	out := &routereport.Report{
		Instance: g.Settings.Instance, Region: g.Settings.Region, Domain: g.Settings.Domain, At: now, Draining: g.Draining(),
		Figures: g.figures(v, members, now), Host: hide(key, c.host), Path: hide(key, stripQuery(c.path)), Method: hide(key, c.method),
		Route: c.route.Name, Priority: c.route.PriorityFor(team), ObjectiveMS: routereport.Millis(c.route.FirstByteObjective),
		TimeLeftMS: routereport.Millis(c.deadline.Sub(now)), Team: c.team, AllowedRegions: g.allowedRegions(c, team),
		Instances: make([]routereport.Instance, 0, len(members)),
	}
	refused := g.refusal()
	if charged := chargedTeam(c, v); charged != nil {
		units := c.QuotaUnits(charged)
		d := g.Quota.Preview(charged, units, now)
		out.Allowance = allowanceOf(charged, d.Level, d.Share, units)
		refused = cmp.Or(refused, overRate(c, d, units))
	}
	out.Refusal = refusalOf(cmp.Or(refused, g.checkBlocked(c)))
	tracker := g.Tracker.Copy()
	for _, s := range c.route.Split {
		if s.Weight <= 0 {
			continue
		}
		if v.Config.Services[s.Service] == nil {
			return nil, result.New(result.NoTarget, result.NotRun, "route %s names service %s, which the configuration does not have", c.route.Name, s.Service)
		}
		c.service = s.Service
		out.Placements = append(out.Placements, g.placementReport(tracker, v, c, query(c), s.Weight, members, now))
	}
	if len(out.Placements) > 0 {
		out.Prompt = promptOf(c, key)
	}
	for i := range members {
		m := &members[i]
		out.Instances = append(out.Instances, routereport.Instance{
			Name: m.Name(), Region: m.Region(), Domain: m.Domain(), Reachable: m.Reachable, Ready: m.Heartbeat.GetReady(),
			AgeMS: routereport.Millis(now.Sub(m.LastSeen)), Rule: cmp.Or(memberRule(m), g.regionRule(c, team, nil, m.Region())),
		})
	}
	return out, nil
}

// placementReport reports the decision for the service of c.
func (g *Gateway) placementReport(tracker *placement.Tracker, v *catalog.View, c *call, q *placement.Query, weight float64, members []heartbeat.Member, now time.Time) routereport.Placement {
	out := routereport.Placement{Service: c.service, Weight: weight}
	d := g.decide(tracker, v, c, q, map[string]bool{}, members, now)
	out.PrefixOwnerRegion = d.query.PrefixOwnerRegion
	out.First, out.Refusal = choiceOf(d.choice), refusalOf(d.refusal())
	if out.First != nil {
		again := *q
		second := g.decide(tracker, v, c, &again, map[string]bool{placeOf(d.choice): true}, members, now)
		out.Second, out.SecondRefusal = choiceOf(second.choice), refusalOf(second.refusal())
	}
	model := tracker.Model(v.Config.Services[c.service])
	out.Targets = targetReports(&d, tracker.Candidates(v, c.service, q.PrefixKey, nil, now), model, now)
	out.Regions = g.regionRows(v, c, &d, model, members, now)
	return out
}

// targetReports reports the targets of the own region. The first choice is never
// excluded by a rule.
func targetReports(d *decision, candidates []*placement.Candidate, model *placement.LatencyModel, now time.Time) []routereport.Target {
	alone, q := map[string]placement.Choice{}, *d.query
	q.LocalAllowed = true // the delay is reported where residency forbids the region too
	for i, choice := range placement.ChooseEach(&q, d.targets, model) {
		alone[d.targets[i].ID] = choice
	}
	out := make([]routereport.Target, 0, len(candidates))
	for _, c := range candidates {
		t := routereport.Target{ID: c.Entry.ID, Rule: string(c.Rule), Estimated: c.Viewed, ListedAgeMS: routereport.Millis(now.Sub(c.Entry.ReadAt))}
		if c.Rule == placement.RuleBackoff {
			t.AvoidedMS = routereport.Millis(c.AvoidedUntil.Sub(now))
		}
		if view := &c.View; c.Viewed {
			t.ExpectedMS, t.Running, t.OwnRunning = routereport.Millis(alone[t.ID].Delay), view.Running, c.OwnRunning
			t.Slots, t.Capacity, t.PendingTokens, t.Slowdown = view.Slots, view.Capacity, view.PendingTokens, view.Slowdown
			t.OldestWaitMS, t.WarmingUp, t.Leaving, t.Cached = routereport.Millis(view.OldestWait), view.WarmingUp, view.Leaving, view.Cached
			if c.SlowdownAge > 0 {
				t.SlowdownAgeMS = pointer(routereport.Millis(c.SlowdownAge))
			}
			if !view.CacheUsedAt.IsZero() {
				t.CacheAgeMS = pointer(routereport.Millis(now.Sub(view.CacheUsedAt)))
			}
			if c.Paced {
				t.Pacing = &routereport.Pacing{Limit: c.Window, Share: c.WindowShare, InFlight: c.WindowRunning}
			}
			switch {
			case t.Rule != "" || t.ID == d.choice.Target:
			case !d.query.LocalAllowed:
				t.Rule = residencyRule
			case alone[t.ID].Reason == placement.ReasonLeftToUrgent:
				t.Rule = urgentRule
			case alone[t.ID].Target == "":
				t.Rule = lateRule
			}
		}
		out = append(out, t)
	}
	return out
}

// regionRows reports the other regions, in the order of their names.
func (g *Gateway) regionRows(v *catalog.View, c *call, d *decision, model *placement.LatencyModel, members []heartbeat.Member, now time.Time) []routereport.Region {
	team := v.Config.Teams[c.team]
	reports := g.regionReports(c, team, nil, members)
	out := []routereport.Region{}
	for _, name := range g.regions() {
		if name == g.Settings.Region {
			continue
		}
		row := routereport.Region{Name: name, Rule: g.regionRule(c, team, nil, name)}
		if r, ok := reports[name]; ok {
			row.DelayMS, row.RoundTripMS, row.FreeSlots = routereport.Millis(r.view.Delay), routereport.Millis(r.view.RoundTrip), r.view.FreeSlots
			row.Source, row.AgeMS = r.source, routereport.Millis(now.Sub(r.seen))
			switch alone := placement.Choose(d.query, nil, []placement.RegionView{r.view}, model); {
			case alone.Region != "" || name == d.choice.Region:
			case r.view.FreeSlots <= 0:
				row.Rule = "it reports no free slot for the service"
			default:
				row.Rule = lateRule + ", or more urgent requests would be late"
			}
		} else if row.Rule == "" {
			row.Rule = "no instance of the region is reachable and ready"
		}
		out = append(out, row)
	}
	return out
}

// regions returns the names of all regions in their order.
func (g *Gateway) regions() []string {
	return slices.Compact(slices.Sorted(maps.Values(g.Settings.RegionByDomain)))
}

func (g *Gateway) allowedRegions(c *call, team *deployment.Team) []string {
	return slices.DeleteFunc(g.regions(), func(region string) bool { return !deployment.RegionAllowed(c.route, team, region) })
}

func (g *Gateway) figures(v *catalog.View, members []heartbeat.Member, now time.Time) routereport.Figures {
	f := routereport.Figures{ConfigVersion: v.Config.Version, TargetsRevision: v.TargetsRevision.Number, TargetsEra: v.TargetsRevision.Era, TargetsSource: v.TargetsSource}
	if published, _ := g.Catalog.Ages(); published < maxKnownAge {
		f.ConfigAgeMS = pointer(routereport.Millis(published))
	}
	if !v.TargetsReadAt.IsZero() {
		f.TargetsAgeMS = pointer(routereport.Millis(now.Sub(v.TargetsReadAt)))
	}
	for i := range members {
		if m := &members[i]; m.Reachable && m.Region() == g.Settings.Region {
			age := routereport.Millis(now.Sub(m.LastSeen))
			if f.OldestHeartbeatMS == nil || age > *f.OldestHeartbeatMS {
				f.OldestHeartbeatMS = &age
			}
		}
	}
	return f
}

// maxKnownAge is the age from which on the store counts as never having answered: the
// zero time is much older.
const maxKnownAge = 100 * 365 * 24 * time.Hour

func allowanceOf(t *deployment.Team, level, share, units float64) *routereport.Account {
	a := &routereport.Account{Unlimited: t.Rate <= 0, Unit: "requests", Burst: t.Burst, Rate: t.Rate, Level: level, Share: share, Request: units}
	if t.ByTokens {
		a.Unit = "tokens"
	}
	return a
}

func promptOf(c *call, apiKey string) *routereport.Prompt {
	if !c.HasTokenCounts && len(c.PromptParts) == 0 {
		return nil
	}
	key, tokens := placement.SharedPrefix(c.PromptParts)
	return &routereport.Prompt{Tokens: c.PromptTokens, Prefix: hide(apiKey, key), PrefixTokens: tokens}
}

// choiceOf returns the report of a choice, nil for a refusal.
func choiceOf(c placement.Choice) *routereport.Choice {
	if placeOf(c) == "" {
		return nil
	}
	return &routereport.Choice{Target: c.Target, Region: c.Region, ExpectedMS: routereport.Millis(c.Delay), FetchFrom: c.FetchFrom,
		Cached: c.Cached, WarmingUp: c.WarmingUp, Leaving: c.Leaving, Reason: c.Reason}
}

// refusalOf returns the report of an error that a caller would get, nil for nil.
func refusalOf(err error) *routereport.Refusal {
	if err == nil {
		return nil
	}
	e := result.FromError(err)
	return &routereport.Refusal{Code: int(e.Code), Name: e.Code.String(), Status: httpStatus(e), Message: e.Message, RetryAfterMS: routereport.Millis(e.RetryAfter)}
}

// maxEncodings bounds the work for a path of which each decoding leaves another escape.
const maxEncodings = 4

// hiddenText stands for a key, or for a text with an encoded key.
const hiddenText = "..."

// escaped matches a percent-encoded byte.
var escaped = regexp.MustCompile("%[0-9A-Fa-f]{2}")

// hide returns s without the API key, which a caller may have put where it does not
// belong. It hides all of s if the key is percent-encoded in it, once or several times,
// or if s is encoded more than maxEncodings times. Broken escapes are left as they are,
// since a path may have them.
func hide(key, s string) string {
	if key == "" {
		return s
	}
	s = strings.ReplaceAll(s, key, hiddenText)
	decoded := s
	for n := 0; escaped.MatchString(decoded); n++ {
		if n == maxEncodings {
			return hiddenText
		}
		decoded = escaped.ReplaceAllStringFunc(decoded, func(e string) string {
			b, _ := hex.DecodeString(e[1:]) // escaped matches hexadecimal digits only
			return string(b)
		})
		if strings.Contains(decoded, key) {
			return hiddenText
		}
	}
	return s
}

func pointer[T any](x T) *T { return &x }
