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
	careChars      = 4000 // prompt of a care-plan request
	careOutput     = 96   // max_tokens
	questionChars  = 160
	questionOutput = 24
	histories      = 8  // shared prompt prefixes of one team
	clients        = 20 // callers of one team in one region
	largeFactor    = 4
	// unkeyedBookings is the share of bookings without an Idempotency-Key.
	unkeyedBookings = 0.2
)

// Names of the models and paths in the table of package fleet.
const (
	CareModel     = "care-plan"
	QuestionModel = "quick"
	BookPath      = "/orders/bookings"
	StockPath     = "/orders/stock/"
)

// Request is one request of the load.
type Request struct {
	At   time.Duration // since the start
	Kind Kind
	Team *Team
	Home string // region of the caller
	// Client tells the callers of one team and region apart.
	Client int
	Tag    standin.Tag
	// Method, Path and Body as sent.
	Method, Path, Body string
	Stream             bool
	// Keyed bookings carry an Idempotency-Key.
	Keyed bool
	// Want is the full text of the answer, for engines.
	Want string
	// Item of a stock lookup.
	Item string
}

// callerID names a caller.
type callerID struct {
	region, team string
	client       int
}

func (r *Request) caller() callerID { return callerID{r.Home, r.Team.Name, r.Client} }

// Idempotent requests are resent after a connection failure.
func (r *Request) Idempotent() bool { return r.Kind != Book }

// Generate draws all requests of a run; the same arguments give the same
// requests. Arrivals are a Poisson process.
func Generate(p *Plan, o Options) []*Request {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	regions := p.Regions()
	homes := make([]float64, len(regions))
	for i := range homes {
		homes[i] = 1
		if i < len(o.HomeWeights) {
			homes[i] = o.HomeWeights[i]
		}
	}
	kinds := make([]float64, len(Kinds))
	for i, k := range Kinds {
		kinds[i] = o.Mix[k]
	}
	teams := make([]float64, len(p.Teams))
	for i := range p.Teams {
		teams[i] = p.Teams[i].Share
	}
	var out []*Request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		r := &Request{At: at, Kind: Kinds[draw(rng, kinds)], Team: &p.Teams[draw(rng, teams)], Home: regions[draw(rng, homes)]}
		r.Tag = standin.Tag{ID: fmt.Sprintf("s%d-%d", o.Seed, len(out)), Team: r.Team.Name}
		r.Client = rng.IntN(clients)
		r.fill(rng)
		out = append(out, r)
	}
}

func draw(rng *rand.Rand, weights []float64) int {
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
		history := fmt.Sprintf("Care history %d of %s: ", rng.IntN(histories), r.Team.Name)
		r.completion(CareModel, text(history, n), careOutput, true)
	case Question:
		r.completion(QuestionModel, text("Question "+r.Tag.ID+": ", questionChars), questionOutput, rng.IntN(2) == 0)
	case Book:
		r.Method, r.Path = "POST", BookPath
		r.Body = fmt.Sprintf(`{"slot":"re-oil","ref":%q}`, r.Tag)
		r.Keyed = rng.Float64() >= unkeyedBookings
	case Lookup:
		r.Method = "GET"
		r.Item = r.Tag.Item()
		r.Path = StockPath + r.Item
	}
}

func (r *Request) completion(model, prompt string, output int, stream bool) {
	req := standin.CompletionRequest{Model: model, MaxTokens: output, Stream: stream}
	req.Messages = []standin.Message{{Role: "user", Content: prompt + r.Tag.String()}}
	body, _ := json.Marshal(req)
	r.Method, r.Path, r.Body, r.Stream = "POST", "/v1/chat/completions", string(body), stream
	r.Want = strings.Join(standin.Answer(req.Text(), output), "")
}

// text repeats a numbered phrase up to n characters; equal heads give equal
// texts, so that prefix caches have something to find.
func text(head string, n int) string {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len() < n; i++ {
		b.WriteString(strconv.Itoa(i))
		b.WriteString(" re-oil the board and let it dry; ")
	}
	return b.String()[:n]
}
