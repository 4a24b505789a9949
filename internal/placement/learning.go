package placement

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// minSamples is the number of responses from which on an instance uses what it has
	// learnt itself. With fewer, the profiles of others apply, and without any the
	// constants of LatencyModelOf.
	minSamples = 30
	// sampleMemory is the number of latest responses that the estimates rest on, by
	// exponential forgetting: some seconds of requests at one instance.
	sampleMemory = 100
	// maxResidual bounds a measured time relative to the expected one, so that a
	// connection that was reset or a stalled process changes the estimates little.
	// firstResidual applies until there are minSamples, since the constants may be far
	// off.
	maxResidual   = 3.0
	firstResidual = 10.0
	// priorWeight is the weight of the constants in units of responses. It decides
	// only what the responses do not show, such as the speed of prompts where all are
	// short.
	priorWeight = 0.05
	// maxTargetDeviation is the slowdown of a target relative to its service, or the
	// inverse, beyond which its responses say nothing about the service.
	maxTargetDeviation = 1.7
	// maxAheadTokens is the number of pending prompt tokens at a target up to which a
	// response is learnt from even if its own prompt is shorter. Beyond, and if no
	// slot is free, the time says more about the queue than about the target.
	maxAheadTokens = 512
	// publishChange is the relative change of an estimate that makes it take effect.
	publishChange = 0.02
	// targetSeparator stands between the service and the target in the name of a
	// profile that describes one target. No name of a service contains it.
	targetSeparator = "\n"
	// slowReportRatio is the slowdown of a target, relative to its service, from which
	// on it is reported to the other instances, slowReportPeriod how long after the
	// last response, and maxSlowReports the number of targets in one heartbeat.
	slowReportRatio  = 1.5
	slowReportPeriod = slowdownRetention
	maxSlowReports   = 8
	// minSlowReporters is the number of instances that must report a target: one may
	// have measured a stalled process or a lost packet. They must also be at least as
	// many as the others that have requests there, since a queue that instances cause
	// together on old loads looks like a slow target to a few of them.
	minSlowReporters = 2
	// enoughOwnResponses is the number of recent responses from which on an instance
	// relies on its own measurement.
	enoughOwnResponses = 4
	// minTokensPerMS to maxServiceTimeMS bound the estimates.
	minTokensPerMS, maxTokensPerMS     = 1.0, 5000.0
	minStepMS, maxStepMS               = 0.1, 500.0
	maxStepPerRequestMS                = 50.0
	minServiceTimeMS, maxServiceTimeMS = 0.5, 10_000.0
	minExpectedMS                      = 1.0
	// featureBase to featureRun are the positions of the coefficients.
	featureBase, featureTokens, featureRun = 0, 1, 2
)

// profile holds the learnt times of a service; see LatencyModel.
type profile struct{ tokensPerMS, stepMS, stepPerRequestMS, serviceTimeMS float64 }

var defaultProfile = profile{defaultTokensPerMS, defaultStepMS, defaultStepPerRequestMS, defaultServiceTimeMS}

// bounded returns the profile within the bounds of the estimates.
func (p profile) bounded() profile {
	bound := func(v, low, high, otherwise float64) float64 {
		if math.IsNaN(v) || v <= 0 && low > 0 {
			return otherwise
		}
		return min(max(v, low), high)
	}
	return profile{
		bound(p.tokensPerMS, minTokensPerMS, maxTokensPerMS, defaultTokensPerMS), bound(p.stepMS, minStepMS, maxStepMS, defaultStepMS),
		bound(p.stepPerRequestMS, 0, maxStepPerRequestMS, defaultStepPerRequestMS), bound(p.serviceTimeMS, minServiceTimeMS, maxServiceTimeMS, defaultServiceTimeMS),
	}
}

func (p profile) differs(q profile) bool {
	far := func(a, b float64) bool { return math.Abs(a-b) > publishChange*max(a, b) }
	return far(p.tokensPerMS, q.tokensPerMS) || far(p.stepMS, q.stepMS) || far(p.stepPerRequestMS, q.stepPerRequestMS) || far(p.serviceTimeMS, q.serviceTimeMS)
}

// sample is a response to be learnt from.
type sample struct {
	engine bool
	// tokens is the number of prompt tokens that the target had to prefill, ahead the
	// number that were pending before it, and running the number of requests there.
	tokens, ahead, running, slots int
	ms                            float64
}

// learner estimates the profile of a service: for engines by weighted least squares
// with forgetting over the base time, the prompt tokens and the running requests.
// Each response counts relative to its expected time, so that long prompts do not
// outweigh short ones.
type learner struct {
	samples   int // at most 2 * sampleMemory
	moments   [3][3]float64
	products  [3]float64
	estimate  profile
	published bool
	peers     map[string]profile
}

func newLearner() *learner { return &learner{estimate: defaultProfile, peers: map[string]profile{}} }

// observe learns from a response.
func (l *learner) observe(s *sample) {
	residual := maxResidual
	if l.samples < minSamples {
		residual = firstResidual
	}
	const keep = 1 - 1.0/sampleMemory
	e := &l.estimate
	if !s.engine {
		load := 1 + plainLoadFactor*float64(s.running)/float64(max(s.slots, 1))
		ms := min(max(s.ms/load, e.serviceTimeMS/residual), e.serviceTimeMS*residual)
		l.samples = min(l.samples+1, 2*sampleMemory)
		e.serviceTimeMS += (ms - e.serviceTimeMS) / float64(min(l.samples, sampleMemory))
		*e = e.bounded()
		return
	}
	// Of the tokens ahead, those of the prompt that is being prefilled are partly done.
	waited := float64(s.ahead) / 2 / e.tokensPerMS
	x := [3]float64{1, float64(s.tokens), float64(s.running)}
	expected := max(firstEventSteps*(e.stepMS+e.stepPerRequestMS*x[featureRun])+x[featureTokens]/e.tokensPerMS, minExpectedMS)
	y := min(max(s.ms-waited, expected/residual), expected*residual)
	weight := 1 / (max(expected, y) * max(expected, y))
	for i := range x {
		for j := range x {
			l.moments[i][j] = keep*l.moments[i][j] + weight*x[i]*x[j]
		}
		l.products[i] = keep*l.products[i] + weight*x[i]*y
	}
	l.samples = min(l.samples+1, 2*sampleMemory)
	base, perToken, perRequest := l.solve()
	e.stepMS, e.tokensPerMS, e.stepPerRequestMS = base/firstEventSteps, 1/max(perToken, 1/maxTokensPerMS), perRequest/firstEventSteps
	*e = e.bounded()
}

// solve returns the coefficients of the regression, with the constants as the prior.
func (l *learner) solve() (base, perToken, perRequest float64) {
	prior := [3]float64{firstEventSteps * defaultStepMS, 1.0 / defaultTokensPerMS, firstEventSteps * defaultStepPerRequestMS}
	m, p := l.moments, l.products
	for i, v := range prior {
		m[i][i] += priorWeight / (v * v)
		p[i] += priorWeight / v
	}
	for i := range 3 { // the matrix is positive definite
		for k := i + 1; k < 3; k++ {
			f := m[k][i] / m[i][i]
			for j := i; j < 3; j++ {
				m[k][j] -= f * m[i][j]
			}
			p[k] -= f * p[i]
		}
	}
	var c [3]float64
	for i := 2; i >= 0; i-- {
		c[i] = p[i]
		for j := i + 1; j < 3; j++ {
			c[i] -= m[i][j] * c[j]
		}
		c[i] /= m[i][i]
	}
	return c[featureBase], c[featureTokens], c[featureRun]
}

// current returns the profile in force; ok is false if the constants apply.
func (l *learner) current() (p profile, ok bool) {
	if l.samples >= minSamples {
		return l.estimate, true
	}
	if len(l.peers) == 0 {
		return profile{}, false
	}
	median := func(of func(p profile) float64) float64 {
		values := make([]float64, 0, len(l.peers))
		for _, p := range l.peers {
			values = append(values, of(p))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return profile{
		median(func(p profile) float64 { return p.tokensPerMS }), median(func(p profile) float64 { return p.stepMS }),
		median(func(p profile) float64 { return p.stepPerRequestMS }), median(func(p profile) float64 { return p.serviceTimeMS }),
	}, true
}

func (t *Tracker) learnerOf(service string) *learner {
	l := t.mu.learners[service]
	if l == nil {
		l = newLearner()
		t.mu.learners[service] = l
	}
	return l
}

// Model returns the latency model of a service: what has been learnt, or the
// constants. It takes no lock.
func (t *Tracker) Model(s *deployment.Service) *LatencyModel {
	m := LatencyModelOf(s)
	if p, ok := (*t.profiles.Load())[s.Name]; ok {
		m.TokensPerMS, m.StepMS, m.StepPerRequestMS, m.ServiceTimeMS = p.tokensPerMS, p.stepMS, p.stepPerRequestMS, p.serviceTimeMS
	}
	return m
}

// publish makes the profile of a service take effect. The caller holds t.mu.
func (t *Tracker) publish(service string, l *learner) {
	p, ok := l.current()
	old := *t.profiles.Load()
	if before, known := old[service]; !ok || known && !p.differs(before) {
		return
	}
	profiles := make(map[string]profile, len(old)+1)
	for name, other := range old {
		profiles[name] = other
	}
	profiles[service] = p
	t.profiles.Store(&profiles)
	if l.published {
		return
	}
	// The slowdowns so far are relative to the constants. What remains valid is how the
	// targets compare with each other.
	l.published = true
	s := t.serviceSlowdown(service)
	for _, st := range t.mu.targets {
		if st.service == service && !st.slowdown.updated.IsZero() {
			st.slowdown.value = min(max(st.slowdown.value/s.value, minSlowdown), maxSlowdown)
		}
	}
	s.value = 1
}

// usualSlowdown returns the slowdown to compare those of single targets with. With a
// learnt model it is at least 1: the average of the service lies below while queues
// are shorter than expected, and a target that is as expected is not slow.
func (t *Tracker) usualSlowdown(service string) float64 {
	value := max(t.serviceSlowdown(service).value, minSlowdown)
	if l := t.mu.learners[service]; l != nil && l.published {
		return max(value, 1)
	}
	return value
}

// learn takes over the time to the first byte of a request. The caller holds
// Tracker.mu.
func (a *Attempt) learn(now time.Time) {
	s := &a.sample
	if s.slots == 0 || s.running >= s.slots || s.ahead > max(s.tokens, maxAheadTokens) {
		return
	}
	t := a.tracker
	if a.state.slowdown.updated.After(now.Add(-slowdownRetention)) {
		deviation := a.state.slowdown.value / t.usualSlowdown(a.state.service)
		if deviation > maxTargetDeviation || deviation < 1/maxTargetDeviation {
			return
		}
	}
	s.ms = float64(now.Sub(a.startedAt)) / float64(time.Millisecond)
	l := t.learnerOf(a.state.service)
	l.observe(s)
	t.publish(a.state.service, l)
}

// SlowTargets returns profiles of the targets that this instance has lately measured to
// be much slower than their service, for its heartbeat.
func (t *Tracker) SlowTargets() []*peerv1.ServiceProfile {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerv1.ServiceProfile
	for id, st := range t.mu.targets {
		if t.mu.lastNow.Sub(st.slowdown.updated) > slowReportPeriod || len(out) == maxSlowReports {
			continue
		}
		// Of two responses that waited in a queue, the other instances' or this one's,
		// one hardly ever waited as long as a slow target takes.
		ratio := min(st.slowdown.last, st.slowdown.previous) / t.usualSlowdown(st.service)
		if ratio < slowReportRatio || st.slowdown.recent < 2 {
			continue
		}
		p, known := (*t.profiles.Load())[st.service]
		if !known {
			p = defaultProfile
		}
		out = append(out, &peerv1.ServiceProfile{Service: st.service + targetSeparator + id, TokensPerMs: float32(p.tokensPerMS / ratio), StepMs: float32(p.stepMS * ratio),
			StepPerRequestMs: float32(p.stepPerRequestMS * ratio), ServiceMs: float32(p.serviceTimeMS * ratio), Samples: uint32(st.slowdown.recent)})
	}
	return out
}

// slowReport returns the target that a profile describes, and how much slower than its
// service it is; ok is false if it describes a service.
func (t *Tracker) slowReport(p *peerv1.ServiceProfile) (target *targetState, ratio float64, ok bool) {
	service, id, found := strings.Cut(p.GetService(), targetSeparator)
	if target = t.mu.targets[id]; !found || target == nil || target.service != service {
		return nil, 0, false
	}
	mine, known := (*t.profiles.Load())[service]
	if !known {
		mine = defaultProfile
	}
	theirs := profile{float64(p.GetTokensPerMs()), float64(p.GetStepMs()), float64(p.GetStepPerRequestMs()), float64(p.GetServiceMs())}.bounded()
	// The geometric mean holds for engines and plain services: what was not measured is
	// the same multiple of the constants.
	ratio = math.Sqrt(theirs.stepMS / mine.stepMS * theirs.serviceTimeMS / mine.serviceTimeMS)
	return target, min(max(ratio, 1), maxSlowdown), true
}

// mergeSlowTargets takes over which targets the other instances measured to be slow.
// The caller holds t.mu.
func (t *Tracker) mergeSlowTargets(heartbeats map[string]*peerv1.FleetRow) {
	reports := map[*targetState]map[string]float64{}
	for peer, hb := range heartbeats {
		for _, p := range hb.GetProfiles() {
			if target, ratio, ok := t.slowReport(p); ok {
				if reports[target] == nil {
					reports[target] = map[string]float64{}
				}
				reports[target][peer] = ratio
			}
		}
	}
	for _, st := range t.mu.targets {
		st.reportedSlowdown = 0
		byPeer := reports[st]
		others := 0 // have requests there and do not report it
		for peer, load := range st.peerLoads {
			if _, slow := byPeer[peer]; !slow && load.running > 0 {
				others++
			}
		}
		if len(byPeer) >= max(minSlowReporters, others) {
			ratios := slices.Sorted(maps.Values(byPeer))
			st.reportedSlowdown = ratios[(len(ratios)-1)/2]
		}
	}
}

// slowdownOf returns the slowdown of a target: that measured here or, without enough
// recent responses, that which others report if it is higher. The caller holds t.mu.
func (t *Tracker) slowdownOf(st *targetState, now time.Time) float64 {
	service := t.serviceSlowdown(st.service)
	own := st.slowdown.at(now, service)
	if st.reportedSlowdown == 0 || st.slowdown.recent >= enoughOwnResponses && now.Sub(st.slowdown.updated) < slowdownRetention {
		return own
	}
	return max(own, min(st.reportedSlowdown*t.usualSlowdown(st.service), maxSlowdown))
}

// Profiles returns what this instance has learnt itself, for its heartbeat.
func (t *Tracker) Profiles() []*peerv1.ServiceProfile {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*peerv1.ServiceProfile
	for service, l := range t.mu.learners {
		if l.samples >= minSamples {
			e := &l.estimate
			out = append(out, &peerv1.ServiceProfile{Service: service, TokensPerMs: float32(e.tokensPerMS), StepMs: float32(e.stepMS),
				StepPerRequestMs: float32(e.stepPerRequestMS), ServiceMs: float32(e.serviceTimeMS), Samples: uint32(l.samples)})
		}
	}
	return out
}

// MergeProfile takes over what another instance of the region has learnt. It has an
// effect only while this instance has learnt too little itself, and then the median
// of the others counts.
func (t *Tracker) MergeProfile(peer string, p *peerv1.ServiceProfile) {
	if strings.Contains(p.GetService(), targetSeparator) {
		return // see mergeSlowTargets
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.learnerOf(p.GetService())
	if l.samples >= minSamples {
		clear(l.peers)
		return
	}
	if p.GetSamples() < minSamples {
		return
	}
	l.peers[peer] = profile{float64(p.GetTokensPerMs()), float64(p.GetStepMs()), float64(p.GetStepPerRequestMs()), float64(p.GetServiceMs())}.bounded()
	t.publish(p.GetService(), l)
}

// DelayError is how a measured time to the first byte compares with the expected one.
type DelayError struct {
	// Ratio is the measured time divided by the expected one.
	Ratio float64
	// Long is set for prompts with a shared prefix, and Cached if the target was
	// estimated to have that cached.
	Long, Cached bool
}

// ObserveDelayErrors makes the Tracker call observe for each first byte of a target of
// the local region. It must be called before the Tracker is used; observe must not
// call the Tracker.
func (t *Tracker) ObserveDelayErrors(observe func(DelayError)) { t.onDelayError = observe }
