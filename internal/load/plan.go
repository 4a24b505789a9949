package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Plan describes the running processes and the teams.
type Plan struct {
	Config    string     `json:"config"` // base URL of the configuration service
	Instances []Instance `json:"instances"`
	Targets   []Target   `json:"targets"`
	Teams     []Team     `json:"teams"`
}

// Instance is an entry instance.
type Instance struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Callers string `json:"callers"` // IP:port
}

// Target is a stand-in whose record is checked.
type Target struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Address  string `json:"address"` // IP:port
	Capacity int    `json:"capacity"`
	// Journal is read if the target does not answer.
	Journal string `json:"journal,omitempty"`
}

// Team is a team as published, with its part of the load.
type Team struct {
	Name  string  `json:"name"`
	Key   string  `json:"key"`
	Rate  float64 `json:"rate"`  // tokens per second
	Burst float64 `json:"burst"` // tokens
	// Regions allowed by residency; empty: all.
	Regions []string `json:"regions,omitempty"`
	// Share of the requests.
	Share float64 `json:"share"`
}

// Options of a run.
type Options struct {
	Seed     uint64        `json:"seed"`
	Rate     float64       `json:"rate"` // requests per second
	Duration time.Duration `json:"duration_ns"`
	Mix      Mix           `json:"mix"`
	// Timeout bounds one request with its resends.
	Timeout time.Duration `json:"timeout_ns"`
	// HomeWeights are the shares of callers by region, in the order in which
	// regions appear in the plan; missing ones count as 1.
	HomeWeights []float64 `json:"home_weights,omitempty"`
}

// Mix gives the share of each kind of request.
type Mix map[Kind]float64

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	Care     Kind = "care"     // long prompt with a shared history, streamed
	Large    Kind = "large"    // as Care, with a prompt four times as long
	Question Kind = "question" // short, streamed or whole
	Book     Kind = "booking"  // not idempotent
	Lookup   Kind = "stock"    // idempotent
)

// Kinds lists the kinds in the order in which they are drawn.
var Kinds = []Kind{Care, Large, Question, Book, Lookup}

// DefaultMix is the mix of the demo.
func DefaultMix() Mix { return Mix{Care: 0.25, Large: 0.05, Question: 0.4, Book: 0.15, Lookup: 0.15} }

// ReadPlan reads a plan from a JSON file.
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

// Regions returns the regions of the instances in the order of the plan.
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
