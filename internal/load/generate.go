package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// Sizes of generated requests.
const (
	careChars       = 4000 // characters in the prompt of a care-plan request
	careOutput      = 96   // max_tokens of a care-plan request
	questionChars   = 160
	questionOutput  = 24
	prefixesPerTeam = 8  // shared prompt prefixes per team
	callersPerTeam  = 20 // callers of a team in one region
	largeFactor     = 4
	// unkeyedBookingFraction is the fraction of bookings without an
	// Idempotency-Key.
	unkeyedBookingFraction = 0.2
)

// Names of the models and path prefixes in the configuration that package fleet
// generates.
const (
	CareModel     = "care-plan"
	QuestionModel = "quick"
	BookingPath   = "/orders/bookings"
	StockPath     = "/orders/stock/"
)

// Request is one generated request.
type Request struct {
	At           time.Duration // due time, since the start of the run
	Kind         Kind
	Team         *Team
	CallerRegion string // region of the caller
	// CallerIndex distinguishes the callers of a team in one region.
	CallerIndex int
	Tag         standin.Tag
	// Method, Path and Body as sent.
	Method, Path, Body string
	Stream             bool
	// Keyed is set for bookings that carry an Idempotency-Key.
	Keyed bool
	// WantText is the full text of the response of an engine.
	WantText string
	// Item is the item of a stock lookup.
	Item string
}

// callerID identifies a caller.
type callerID struct {
	region, team string
	index        int
}

func (r *Request) caller() callerID { return callerID{r.CallerRegion, r.Team.Name, r.CallerIndex} }

// Idempotent reports whether the request may be retried after a connection
// failure.
func (r *Request) Idempotent() bool { return r.Kind != Booking }

// Generate returns all requests of a run in the order of their due times. The
// same arguments give the same requests. Arrivals are a Poisson process; a burst acts
// from the first request after its start.
func Generate(p *Plan, o Options) []*Request {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	regions := p.Regions()
	regionWeights := make([]float64, len(regions))
	for i := range regionWeights {
		regionWeights[i] = 1
		if i < len(o.RegionWeights) {
			regionWeights[i] = o.RegionWeights[i]
		}
	}
	kindWeights := make([]float64, len(Kinds))
	for i, k := range Kinds {
		kindWeights[i] = o.Mix[k]
	}
	teamWeights := make([]float64, len(p.Teams))
	for i := range p.Teams {
		teamWeights[i] = p.Teams[i].LoadWeight
	}
	var out []*Request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / o.rateAt(at) * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		r := &Request{At: at, Kind: Kinds[weightedIndex(rng, kindWeights)], Team: &p.Teams[weightedIndex(rng, teamWeights)], CallerRegion: regions[weightedIndex(rng, regionWeights)]}
		r.Tag = standin.Tag{ID: fmt.Sprintf("s%d-%d", o.Seed, len(out)), Team: r.Team.Name}
		r.CallerIndex = rng.IntN(callersPerTeam)
		r.fill(rng)
		out = append(out, r)
	}
}

// weightedIndex returns a random index with a probability proportional to its
// weight.
func weightedIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (r *Request) fill(rng *rand.Rand) {
	switch r.Kind {
	case Care, Large:
		n := careChars
		if r.Kind == Large {
			n *= largeFactor
		}
		prefix := fmt.Sprintf("Care history %d of %s: ", rng.IntN(prefixesPerTeam), r.Team.Name)
		r.setCompletion(CareModel, promptText(prefix, n), careOutput, true)
	case Question:
		r.setCompletion(QuestionModel, promptText("Question "+r.Tag.ID+": ", questionChars), questionOutput, rng.IntN(2) == 0)
	case Booking:
		r.Method, r.Path = "POST", BookingPath
		r.Body = fmt.Sprintf(`{"slot":"re-oil","ref":%q}`, r.Tag)
		r.Keyed = rng.Float64() >= unkeyedBookingFraction
	case StockLookup:
		r.Method = "GET"
		r.Item = r.Tag.Item()
		r.Path = StockPath + r.Item
	}
}

func (r *Request) setCompletion(model, prompt string, maxTokens int, stream bool) {
	req := standin.CompletionRequest{Model: model, MaxTokens: maxTokens, Stream: stream}
	req.Messages = []standin.Message{{Role: "user", Content: prompt + r.Tag.String()}}
	body, _ := json.Marshal(req)
	r.Method, r.Path, r.Body, r.Stream = "POST", "/v1/chat/completions", string(body), stream
	r.WantText = strings.Join(standin.GenerateTokens(req.Text(), maxTokens), "")
}

// promptText returns prefix followed by a numbered phrase that is repeated up to
// n characters. Equal prefixes give equal texts, so that requests share prompt
// prefixes that targets can cache.
func promptText(prefix string, n int) string {
	var b strings.Builder
	b.WriteString(prefix)
	for i := 0; b.Len() < n; i++ {
		b.WriteString(strconv.Itoa(i))
		b.WriteString(" re-oil the board and let it dry; ")
	}
	return b.String()[:n]
}
