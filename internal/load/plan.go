package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Plan describes the running processes and the teams for a load run.
type Plan struct {
	Config    string     `json:"config"` // base URL of the configuration service
	Instances []Instance `json:"instances"`
	Targets   []Target   `json:"targets"`
	Teams     []Team     `json:"teams"`
}

// Instance is an instance that accepts requests from callers.
type Instance struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Callers string `json:"callers"` // IP:port for callers
}

// Target is a stand-in whose record is checked after the run.
type Target struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Address  string `json:"address"` // IP:port
	Capacity int    `json:"capacity"`
	// Journal is the path of a file that is read in place of the record if the
	// target does not respond.
	Journal string `json:"journal,omitempty"`
}

// Team is a team as published in the configuration, with its weight in
// the load.
type Team struct {
	Name  string  `json:"name"`
	Key   string  `json:"key"`
	Rate  float64 `json:"rate"`  // tokens per second
	Burst float64 `json:"burst"` // tokens
	// Regions allowed by residency; empty allows all.
	Regions []string `json:"regions,omitempty"`
	// LoadWeight is the relative number of requests of the team.
	LoadWeight float64 `json:"share"`
}

// Options are the parameters of a run.
type Options struct {
	Seed     uint64        `json:"seed"`
	Rate     float64       `json:"rate"` // requests per second
	Duration time.Duration `json:"duration_ns"`
	Mix      Mix           `json:"mix"`
	// Timeout bounds one request with its retries.
	Timeout time.Duration `json:"timeout_ns"`
	// RegionWeights are the relative numbers of requests by region of the
	// caller, in the order in which regions appear in the plan. Missing weights
	// count as 1.
	RegionWeights []float64 `json:"home_weights,omitempty"`
	Bursts        []Burst   `json:"bursts,omitempty"`
}

// Burst is a time in which callers send more requests.
type Burst struct {
	At       time.Duration `json:"at_ns"` // since the start of the run
	Duration time.Duration `json:"duration_ns"`
	// Factor is what the rate is multiplied by; those of overlapping bursts multiply.
	Factor float64 `json:"factor"`
}

// rateAt returns the rate at a time since the start of the run.
func (o *Options) rateAt(at time.Duration) float64 {
	rate := o.Rate
	for _, b := range o.Bursts {
		if at >= b.At && at < b.At+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// Mix gives the relative number of requests of each kind.
type Mix map[Kind]float64

// Kind is the kind of a request, which sets its path, size and idempotency.
type Kind string

// Kinds of requests.
const (
	Care        Kind = "care"     // long prompt with a shared prefix, streamed
	Large       Kind = "large"    // as Care, with a prompt four times as long
	Question    Kind = "question" // short prompt, streamed or not
	Booking     Kind = "booking"  // not idempotent
	StockLookup Kind = "stock"    // idempotent
)

// Kinds lists all kinds. Its order determines which requests a seed generates.
var Kinds = []Kind{Care, Large, Question, Booking, StockLookup}

// DefaultMix returns the mix of the demo.
func DefaultMix() Mix {
	return Mix{Care: 0.25, Large: 0.05, Question: 0.4, Booking: 0.15, StockLookup: 0.15}
}

// ReadPlan reads a plan from a JSON file. It fails if the plan has no instances
// or no teams.
func ReadPlan(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(p.Instances) == 0 || len(p.Teams) == 0 {
		return nil, fmt.Errorf("%s: no instances or no teams", path)
	}
	return p, nil
}

// Regions returns the regions of the instances in the order in which they first
// appear in the plan.
func (p *Plan) Regions() []string {
	var out []string
	seen := map[string]bool{}
	for _, in := range p.Instances {
		if !seen[in.Region] {
			seen[in.Region] = true
			out = append(out, in.Region)
		}
	}
	return out
}
