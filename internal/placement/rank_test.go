package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against urgent requests that are refused while less urgent ones fill the
// targets, and against urgent ones that are kept away by the same rule.
func TestLessUrgentRequestsLeaveTimeForUrgentOnes(t *testing.T) {
	m := &LatencyModel{TokensPerMS: 60, StepMS: 3, ServiceTimeMS: 60}
	long := Query{PromptTokens: 17_000, Objective: 1500 * time.Millisecond, Remaining: 6 * time.Second, LocalAllowed: true, Engine: true}
	short := Query{PromptTokens: 300, Objective: 500 * time.Millisecond, Remaining: 4 * time.Second, LocalAllowed: true, Engine: true}
	ranked := long
	ranked.UrgentObjective = short.Objective
	huge := ranked
	huge.PromptTokens = 90_000
	busy := []TargetView{{ID: "busy", Engine: true, Slots: 16, Capacity: 24, PendingTokens: 15_000, Slowdown: 1}}
	medium := ranked
	medium.PromptTokens = 9000
	half := []TargetView{{ID: "half", Engine: true, Slots: 16, Capacity: 24, PendingTokens: 8000, Slowdown: 1}}
	idle := []TargetView{{ID: "idle", Engine: true, Slots: 16, Capacity: 24, Slowdown: 1}}
	plain := []TargetView{{ID: "plain", Slots: 6, Capacity: 40, Running: 34, Slowdown: 1}}
	for name, c := range map[string]struct {
		q       Query
		targets []TargetView
		regions []RegionView
		want    string
	}{
		"urgent, busy target":                          {short, busy, nil, "busy"},
		"without urgent requests":                      {long, busy, nil, "busy"},
		"less urgent, busy target":                     {ranked, busy, nil, ""},
		"less urgent, idle target":                     {ranked, idle, nil, "idle"},
		"less urgent, time on an idle target too long": {huge, idle, nil, "idle"},
		"less urgent, time for one of two prompts":     {medium, half, nil, ""},
		"less urgent, plain target":                    {ranked, plain, nil, ""},
		"less urgent, region with room":                {ranked, busy, []RegionView{{Name: "far", Delay: 20 * time.Millisecond, FreeSlots: 9}}, "far"},
		"less urgent, busy region":                     {ranked, busy, []RegionView{{Name: "far", Delay: 100 * time.Millisecond, FreeSlots: 9}}, ""},
	} {
		choice := Choose(&c.q, c.targets, c.regions, m)
		if got := choice.Target + choice.Region; got != c.want {
			t.Errorf("%s: %q, want %q (%s)", name, got, c.want, choice.Reason)
		}
		if c.want == "" && choice.RetryAfter <= 0 {
			t.Errorf("%s: refused without a time to come back", name)
		}
	}
}

// rankEngine is an engine that prefills prompts, most urgent first, between the decoding
// steps of its batch.
type rankEngine struct{ batch, queue []*rankRequest }

type rankRequest struct {
	q                *Query
	urgent           bool
	tokens, out      float64 // that remain
	arrived, firstAt time.Duration
}

const (
	rankTick           = 5 * time.Millisecond
	rankTokensPerMS    = 60.0
	rankStepMS         = 3.5
	rankPrefillStepMS  = 20.0 // with a part of a prompt in the same step
	rankSlots          = 16
	rankInstances      = 25
	rankHeartbeat      = 700 * time.Millisecond
	rankEngines        = 10
	rankLongTokens     = 17_000
	rankShortTokens    = 300
	rankLongObjective  = 1500 * time.Millisecond
	rankShortObjective = 500 * time.Millisecond
)

func (e *rankEngine) tick(now time.Duration) {
	for len(e.batch) < rankSlots && len(e.queue) > 0 {
		next := 0
		for i, r := range e.queue {
			if r.urgent && !e.queue[next].urgent {
				next = i
			}
		}
		e.batch = append(e.batch, e.queue[next])
		e.queue = append(e.queue[:next], e.queue[next+1:]...)
	}
	var prefill *rankRequest
	for _, r := range e.batch {
		if r.tokens > 0 && (prefill == nil || r.urgent && !prefill.urgent) {
			prefill = r
		}
	}
	ms, step := float64(rankTick.Milliseconds()), rankStepMS
	if prefill != nil {
		prefill.tokens -= ms * rankTokensPerMS
		step = rankPrefillStepMS
	}
	kept := e.batch[:0]
	for _, r := range e.batch {
		if r.tokens <= 0 {
			if r.firstAt == 0 {
				r.firstAt = now
			}
			r.out -= ms / step
		}
		if r.out > 0 {
			kept = append(kept, r)
		}
	}
	e.batch = kept
}

func (e *rankEngine) view(id int) TargetView {
	v := TargetView{ID: fmt.Sprint(id), Engine: true, Slots: rankSlots, Capacity: 24, Running: len(e.batch) + len(e.queue), Slowdown: 1, HoldTime: 400 * time.Millisecond}
	for _, r := range append(append([]*rankRequest{}, e.batch...), e.queue...) {
		v.PendingTokens += int(max(r.tokens, 0))
	}
	return v
}

// rankLoad plays 5 s of 400 short and 45 long prompts a second at ten engines, which read
// 35 long prompts a second if they do nothing else. Instances hear of each other's load
// every rankHeartbeat. It returns the requests that were placed and the number of
// those that were refused, by urgency.
func rankLoad(seed uint64, ranked bool) (shorts, longs []*rankRequest, refused map[bool]int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	engines := make([]*rankEngine, rankEngines)
	for i := range engines {
		engines[i] = &rankEngine{}
	}
	m := &LatencyModel{TokensPerMS: rankTokensPerMS, StepMS: rankStepMS}
	refused = map[bool]int{}
	var reported []TargetView
	own := make([][]TargetView, rankInstances)
	for now := time.Duration(0); now < 8*time.Second; now += rankTick {
		if now%rankHeartbeat == 0 {
			reported = nil
			for i, e := range engines {
				reported = append(reported, e.view(i))
			}
			for i := range own {
				own[i] = append([]TargetView{}, reported...)
			}
		}
		for _, kind := range []struct {
			urgent    bool
			perSecond float64
		}{{true, 400}, {false, 45}} {
			if now >= 5*time.Second {
				continue
			}
			for n := kind.perSecond * rankTick.Seconds(); rng.Float64() < n; n-- {
				q := &Query{PromptTokens: rankLongTokens, Objective: rankLongObjective, Remaining: 6 * time.Second, Jitter: rng.Float64(), LocalAllowed: true, Engine: true}
				out := 120.0
				if kind.urgent {
					q.PromptTokens, q.Objective, q.Remaining, out = rankShortTokens, rankShortObjective, 4*time.Second, 45
				} else if ranked {
					q.UrgentObjective = rankShortObjective
				}
				views := own[rng.IntN(rankInstances)]
				choice := Choose(q, views, nil, m)
				if choice.Target == "" {
					refused[kind.urgent]++
					continue
				}
				r := &rankRequest{q: q, urgent: kind.urgent, tokens: float64(q.PromptTokens), out: out, arrived: now}
				for i := range views {
					if views[i].ID == choice.Target {
						views[i].Running++
						views[i].PendingTokens += q.PromptTokens
						views[i].Full = views[i].Running >= views[i].Capacity
						engines[i].queue = append(engines[i].queue, r)
					}
				}
				if kind.urgent {
					shorts = append(shorts, r)
				} else {
					longs = append(longs, r)
				}
			}
		}
		for _, e := range engines {
			e.tick(now)
		}
	}
	return shorts, longs, refused
}

// Guards against long prompts, more than the engines can read, that keep out the urgent
// short ones, which need a fraction of that time. Callers of long prompts must still be
// served.
func TestUrgentRequestsAreServedBesideLongPrompts(t *testing.T) {
	// maxRefused is the part of the urgent requests that may be refused: the engines have
	// time for all of them.
	const maxRefused = 0.2
	inTime := func(requests []*rankRequest) (n int) {
		for _, r := range requests {
			if r.firstAt > 0 && r.firstAt-r.arrived <= r.q.Objective {
				n++
			}
		}
		return n
	}
	for seed := range uint64(3) {
		for _, ranked := range []bool{false, true} {
			shorts, longs, refused := rankLoad(seed, ranked)
			asked := len(shorts) + refused[true]
			refusedShare, longShare := float64(refused[true])/float64(asked), float64(len(longs))/float64(len(longs)+refused[false])
			t.Logf("seed %d, ranks %v: short prompts %.2f in time, %.2f refused; long prompts %.2f placed, %.2f in time", seed, ranked,
				float64(inTime(shorts))/float64(asked), refusedShare, longShare, float64(inTime(longs))/float64(len(longs)+refused[false]))
			if ranked && refusedShare > maxRefused {
				t.Errorf("seed %d: %.2f of the short prompts refused, at most %.2f", seed, refusedShare, maxRefused)
			}
			if ranked && longShare < (1-refusedShare)/4 {
				t.Errorf("seed %d: long prompts are placed less than a quarter as often as short ones", seed)
			}
		}
	}
}
