package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// defaultTokensPerMS, defaultStepMS and defaultStepPerRequestMS describe a typical
	// engine. They apply until enough has been learnt; see learner.
	defaultTokensPerMS      = 30
	defaultStepMS           = 5.0
	defaultStepPerRequestMS = 0.15
	defaultServiceTimeMS    = 30
)

const (
	// firstEventSteps is the approximate number of decoding steps before the first
	// event of a new request arrives: an event of a stream may contain several tokens.
	firstEventSteps = 5
	// oldestWaitFraction times the wait of the oldest request at a target is the
	// least delay expected for a new one.
	oldestWaitFraction = 0.7
	// plainLoadFactor is what a full plain target adds to the time of a request, as a
	// fraction. The term also distributes light load over the targets.
	plainLoadFactor = 0.2
)

// LatencyModel holds the expected times of a service's targets.
type LatencyModel struct {
	// TokensPerMS is the prefill speed.
	TokensPerMS float64
	// StepMS is the time of a decoding step, and StepPerRequestMS what each request
	// in the batch adds to it.
	StepMS, StepPerRequestMS float64
	// ServiceTimeMS is the processing time of one request at a plain service.
	ServiceTimeMS float64
	// FetchTokensPerMS is the speed at which a target copies prompt parts from
	// another target; 0 if it cannot.
	FetchTokensPerMS float64
}

// LatencyModelOf returns the latency model of a service of which nothing is learnt yet.
func LatencyModelOf(s *deployment.Service) *LatencyModel {
	m := &LatencyModel{TokensPerMS: defaultTokensPerMS, StepMS: defaultStepMS, StepPerRequestMS: defaultStepPerRequestMS, ServiceTimeMS: defaultServiceTimeMS}
	if s.Engine != nil && s.Engine.KVBytesPerToken > 0 && s.Engine.LinkBytesPerSecond > 0 {
		m.FetchTokensPerMS = s.Engine.LinkBytesPerSecond / s.Engine.KVBytesPerToken / 1000
	}
	return m
}

// Delay returns the expected time to the first byte at t. fetch is set if t copies
// the shared prefix from another target.
func (m *LatencyModel) Delay(q *Query, t *TargetView, fetch bool) time.Duration {
	var ms float64
	if t.Engine {
		tokens := q.PromptTokens + t.PendingTokens
		switch shared := min(q.PrefixTokens, q.PromptTokens); {
		case t.Cached:
			tokens -= shared
		case fetch:
			tokens -= shared
			ms += float64(shared) / m.FetchTokensPerMS
		}
		ms += float64(tokens)/m.TokensPerMS + firstEventSteps*(m.StepMS+m.StepPerRequestMS*float64(min(t.Running, t.Slots)))
		if ahead := t.Running + 1 - t.Slots; ahead > 0 {
			ms += float64(ahead) * float64(t.HoldTime.Milliseconds()) / float64(max(t.Slots, 1))
		}
	} else {
		queued := max(t.Running+1-t.Slots, 0)
		ms = m.ServiceTimeMS * (1 + float64(queued)/float64(max(t.Slots, 1)))
		ms += plainLoadFactor * m.ServiceTimeMS * float64(t.Running) / float64(max(t.Slots, 1))
	}
	return max(time.Duration(ms*max(t.Slowdown, 0.05)*float64(time.Millisecond)), time.Duration(oldestWaitFraction*float64(t.OldestWait)))
}

// prefillTime returns the time to prefill the shared prefix.
func prefillTime(q *Query, m *LatencyModel) time.Duration {
	return time.Duration(float64(q.PrefixTokens) / m.TokensPerMS * float64(time.Millisecond))
}
