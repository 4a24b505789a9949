package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// engineFleet simulates engines of one service and the instances of their region.
type engineFleet struct {
	*simRegion
	tokensPerMS, stepMS float64
	engines             map[string]*simEngine
	// ratios are measured over expected delays by kind of prompt since the last reset.
	long, short []float64
}

type simEngine struct {
	prefillUntil time.Time
	running      int
	slower       float64
	cached       map[string]bool
}

func newEngineFleet(instances, all, targets int, tokensPerMS, stepMS float64, seed uint64) *engineFleet {
	f := &engineFleet{simRegion: newSimRegion(instances, all, targets, seed), tokensPerMS: tokensPerMS, stepMS: stepMS, engines: map[string]*simEngine{}}
	f.service.Engine = &deployment.Engine{Slots: 16, KVCacheTokens: 357_151, KVBytesPerToken: 18432, LinkBytesPerSecond: 4.6e10}
	f.service.WarmupRate = 0
	for id, e := range f.view.Targets {
		entry := *e
		entry.Slots = 16
		f.view.Targets[id] = &catalog.Entry{Target: entry.Target}
		f.engines[id] = &simEngine{slower: 1, cached: map[string]bool{}}
	}
	return f
}

// run lets requests arrive for a duration; one in eight has a long prompt.
func (f *engineFleet) run(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.simRegion.run(time.Millisecond, 0)
		for expected := perSecond / 1000; expected > 0; expected-- {
			if f.random.Float64() < expected {
				f.arriveAtEngine(f.instances[f.random.IntN(len(f.instances))])
			}
		}
	}
}

func (f *engineFleet) arriveAtEngine(in *simInstance) {
	q := &Query{PromptTokens: 200 + f.random.IntN(1200), Objective: 500 * time.Millisecond, Remaining: 4 * time.Second, LocalAllowed: true}
	if f.random.IntN(8) == 0 {
		q.PromptTokens, q.PrefixTokens, q.PrefixKey, q.Objective = 17_000, 13_300, fmt.Sprint("part-", f.random.IntN(8)), 1500*time.Millisecond
	}
	choice := Choose(q, in.tracker.Targets(f.view, f.service.Name, q.PrefixKey, nil, f.now), nil, in.tracker.Model(f.service))
	if choice.Target == "" {
		f.refused++
		return
	}
	a := in.tracker.Begin(f.view, f.view.Targets[choice.Target], f.service, q, choice, f.now)
	if a == nil {
		f.refused++
		return
	}
	a.Sent(f.now)
	e, sent := f.engines[choice.Target], f.now
	tokens := float64(q.PromptTokens)
	wait := 0.0
	switch {
	case q.PrefixKey == "":
	case e.cached[q.PrefixKey]:
		tokens -= float64(q.PrefixTokens)
	case choice.FetchFrom != "" && f.engines[choice.FetchFrom].cached[q.PrefixKey]:
		tokens -= float64(q.PrefixTokens)
		wait = 6
	}
	e.cached[q.PrefixKey] = true
	e.running++
	begin := later(f.now.Add(time.Duration(wait*1e6)), e.prefillUntil)
	e.prefillUntil = begin.Add(time.Duration(e.slower * tokens / f.tokensPerMS * 1e6))
	steps := 10 + float64(f.random.IntN(3))
	first := e.prefillUntil.Sub(f.now) + time.Duration(e.slower*steps*(f.stepMS+0.1*float64(e.running))*1e6) + time.Millisecond
	if f.random.IntN(100) == 0 {
		first += 700 * time.Millisecond // a stalled process or a lost packet
	}
	f.after(first, func() {
		ratio := float64(f.now.Sub(sent)) / float64(max(choice.Delay, time.Millisecond))
		if q.PrefixKey != "" {
			f.long = append(f.long, ratio)
		} else {
			f.short = append(f.short, ratio)
		}
		a.FirstByte(f.now)
	})
	f.after(first+200*time.Millisecond, func() {
		e.running--
		a.End(Success, f.now)
	})
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	s := slices.Clone(values)
	slices.Sort(s)
	return s[int(p*float64(len(s)-1))]
}

// Guards against a model that expects short prompts to be as much slower or faster
// than the constants as long ones are: engines differ by a factor of four in prompt
// speed and hardly in step time.
func TestExpectedDelayFitsEnginesOfAnySpeed(t *testing.T) {
	for _, c := range []struct{ tokensPerMS, stepMS float64 }{{38, 6}, {62, 3.09}, {157, 3.55}} {
		f := newEngineFleet(8, 8, 8, c.tokensPerMS, c.stepMS, 1)
		f.run(15*time.Second, 130)
		f.long, f.short = nil, nil
		f.run(15*time.Second, 130)
		t.Logf("%.0f tokens/ms: long prompts median %.2f p90 %.2f (%d), short median %.2f p90 %.2f (%d), refused %d", c.tokensPerMS,
			percentile(f.long, 0.5), percentile(f.long, 0.9), len(f.long), percentile(f.short, 0.5), percentile(f.short, 0.9), len(f.short), f.refused)
		for kind, ratios := range map[string][]float64{"long": f.long, "short": f.short} {
			if m := percentile(ratios, 0.5); m < 0.7 || m > 1.4 {
				t.Errorf("%.0f tokens/ms: %s prompts take %.2f times the expected delay (median)", c.tokensPerMS, kind, m)
			}
		}
	}
}

// takenForSlow returns the fraction of the instances that take target t-0 to be at
// least ratio times as slow as its service, and that of the other targets.
func (f *engineFleet) takenForSlow(ratio float64) (target, others float64) {
	n := float64(len(f.instances))
	for _, in := range f.instances {
		service := max(in.tracker.serviceSlowdown(f.service.Name).value, 1)
		for _, v := range in.tracker.Targets(f.view, f.service.Name, "", nil, f.now) {
			switch {
			case v.Slowdown < ratio*service:
			case v.ID == "t-0":
				target += 1 / n
			default:
				others += 1 / n / float64(len(f.engines)-1)
			}
		}
	}
	return target, others
}

// timeUntil lets time pass until reached, for 20 s at most.
func (f *engineFleet) timeUntil(perSecond float64, reached func() bool) time.Duration {
	for from := f.now; f.now.Sub(from) < 20*time.Second; {
		if f.run(100*time.Millisecond, perSecond); reached() {
			return f.now.Sub(from)
		}
	}
	return time.Hour
}

// Guards against a fleet that goes on using a target three times slower than the
// others like any other, and against one that avoids it for long after. At a large
// region each instance gets few responses of one target.
func TestSlowTargetIsKnownAndForgotten(t *testing.T) {
	for _, size := range []struct{ all, region int }{{8, 8}, {74, 25}, {233, 78}} {
		f := newEngineFleet(size.region, size.all, 8, 62, 3.09, 2)
		f.run(10*time.Second, 200)
		f.engines["t-0"].slower = 3
		known := f.timeUntil(200, func() bool { target, _ := f.takenForSlow(1.5); return target >= 0.8 })
		f.run(3*time.Second, 200)
		_, others := f.takenForSlow(1.5)
		f.engines["t-0"].slower = 1
		forgotten := f.timeUntil(200, func() bool { target, _ := f.takenForSlow(1.5); return target < 0.2 })
		t.Logf("%d instances (%d in the region): known at 0.8 of them after %s, forgotten at 0.8 after %s; other targets taken for slow %.2f", size.all, size.region, known, forgotten, others)
		if known > 15*time.Second || forgotten > 18*time.Second {
			t.Errorf("%d instances: known after %s, forgotten after %s", size.all, known, forgotten)
		}
	}
}

func learn(l *learner, n int, of func(i int) sample) {
	for i := range n {
		s := of(i)
		l.observe(&s)
	}
}

// engineSample returns a response of an engine of 62 tokens a ms and a base time of 40 ms.
func engineSample(i int) sample {
	tokens := 200 + 100*(i%10)
	if i%8 == 0 {
		tokens = 3700
	}
	return sample{engine: true, tokens: tokens, running: i % 6, slots: 16, ms: 40 + float64(tokens)/62 + 2*float64(i%6)}
}

// Guards against estimates that a few stalled or absurd times spoil, or that leave
// their bounds.
func TestLearnerIsRobustAndBounded(t *testing.T) {
	l := newLearner()
	learn(l, 400, func(i int) sample {
		s := engineSample(i)
		switch {
		case i%50 == 7:
			s.ms = 60_000
		case i%50 == 9:
			s.ms = 0
		}
		return s
	})
	if e := l.estimate; e.tokensPerMS < 45 || e.tokensPerMS > 90 || e.stepMS < 6 || e.stepMS > 13 {
		t.Errorf("estimate %+v, want about 62 tokens a ms and a step of 8 ms", e)
	}
	learn(l, 2000, func(i int) sample { return sample{engine: true, tokens: i % 3, ms: 1e12, slots: 16} })
	learn(l, 2000, func(i int) sample { return sample{engine: true, ms: -5, slots: 16} })
	learn(l, 2000, func(i int) sample { return sample{ms: 0, slots: 6} })
	if e := l.estimate; e != e.bounded() {
		t.Errorf("estimate %+v is out of bounds", e)
	}
}

// Guards against a model that keeps old times after the engines have changed, and
// against one that forgets the prompt speed while all prompts are short.
func TestLearnerForgetsWhatChangesOnly(t *testing.T) {
	l := newLearner()
	learn(l, 300, engineSample)
	learn(l, 5*sampleMemory, func(i int) sample {
		s := engineSample(i)
		s.ms = 100 + float64(s.tokens)/30
		return s
	})
	if e := l.estimate; e.tokensPerMS < 24 || e.tokensPerMS > 38 || e.stepMS < 16 || e.stepMS > 24 {
		t.Errorf("estimate %+v, want about 30 tokens a ms and a step of 20 ms", e)
	}
	l = newLearner()
	learn(l, 300, engineSample)
	learn(l, 60, func(i int) sample { s := engineSample(1 + i%7); return s })
	if e := l.estimate; e.tokensPerMS < 45 || e.tokensPerMS > 90 {
		t.Errorf("%.0f tokens a ms after a minute of short prompts, want about 62", e.tokensPerMS)
	}
}

// Guards against a new instance that plans with the constants although others have
// learnt, against a single absurd profile, and against profiles of others that
// overrule what an instance has learnt itself.
func TestNewInstanceTakesProfilesOfOthers(t *testing.T) {
	c := newCluster(1, 1)
	tr := c.trackers[0]
	if m := tr.Model(c.service); m.TokensPerMS != defaultTokensPerMS {
		t.Errorf("model %+v before anything is learnt", m)
	}
	report := func(peer string, tokensPerMS float32) {
		tr.MergeProfile(peer, &peerv1.ServiceProfile{Service: "model", TokensPerMs: tokensPerMS, StepMs: 4, StepPerRequestMs: 0.1, ServiceMs: 30, Samples: 200})
	}
	report("a", 60)
	report("b", 64)
	report("c", float32(math.NaN()))
	report("d", 1e9)
	report("e", 62)
	if m := tr.Model(c.service); m.TokensPerMS < 60 || m.TokensPerMS > 64 || m.StepMS != 4 {
		t.Errorf("model %+v", m)
	}
	if len(tr.Profiles()) != 0 {
		t.Error("the instance reports what it has not learnt itself")
	}
	for range 3 * minSamples {
		a := tr.Begin(c.view, c.view.Targets["t-0"], c.service, &Query{PromptTokens: 1000}, Choice{}, c.now)
		a.FirstByte(c.now.Add(100 * time.Millisecond))
		a.End(Success, c.now.Add(200*time.Millisecond))
	}
	report("a", 600)
	if p := tr.Profiles(); len(p) != 1 || p[0].GetSamples() < minSamples {
		t.Errorf("profiles %v", p)
	}
	if m := tr.Model(c.service); m.TokensPerMS > 200 {
		t.Errorf("model %+v although this instance has learnt itself", m)
	}
}

// Guards against learning the time that requests wait at a full target as its speed.
func TestQueueingIsNotLearnt(t *testing.T) {
	c := newCluster(1, 1)
	tr := c.trackers[0]
	var running []*Attempt
	for range 16 {
		running = append(running, tr.Begin(c.view, c.view.Targets["t-0"], c.service, &Query{PromptTokens: 1000}, Choice{}, c.now))
	}
	for _, a := range running {
		a.FirstByte(c.now.Add(100 * time.Millisecond))
	}
	learnt := tr.learnerOf("model").samples
	for range 3 * minSamples {
		a := tr.Begin(c.view, c.view.Targets["t-0"], c.service, &Query{PromptTokens: 1000}, Choice{}, c.now)
		a.FirstByte(c.now.Add(3 * time.Second))
		a.End(Success, c.now.Add(3*time.Second))
	}
	if got := tr.learnerOf("model").samples; got != learnt {
		t.Errorf("learnt from %d responses that waited for a slot", got-learnt)
	}
}
