package enginecmd

import (
	"slices"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

// loadModel is the kind of an order to load a model.
const loadModel = "load_model"

// Order is the body of POST /orders of an engine.
type Order struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// State is what an engine reports of itself in its load.
type State struct {
	// Models are the loaded models; nil if the engine does not report them.
	Models []string `json:"models"`
	// Fencing is the highest fencing number seen by the engine.
	Fencing uint64 `json:"fencing"`
}

// Step is an order to one target.
type Step struct {
	Target *config.Target
	Order  Order
}

// Plan returns the orders that bring the engines of a shard from their states
// to the table: one per engine, for the first missing model by name. Engines
// in skip, those whose state is not known and those that report no models get
// none. At most limit orders are returned, in the order of the targets' names,
// because the weight store limits its rate.
func Plan(e *config.Config, shard leadership.Shard, ballot uint64, states map[string]State, skip map[string]bool, limit int) []Step {
	region := e.Regions[shard.Region]
	if region == nil {
		return nil
	}
	var names []string
	for name, t := range e.Targets {
		if t.Kind == config.Engine && t.Region == shard.Region && leadership.ShardFor(region, name) == shard && !skip[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var steps []Step
	for _, name := range names {
		if len(steps) == limit {
			break
		}
		state, known := states[name]
		if !known || state.Models == nil {
			continue
		}
		if model := firstMissing(e.Targets[name].Models, state.Models); model != "" {
			steps = append(steps, Step{e.Targets[name], Order{Kind: loadModel, Name: model, Fencing: ballot}})
		}
	}
	return steps
}

func firstMissing(wanted map[string]bool, loaded []string) string {
	first := ""
	for model := range wanted {
		if !slices.Contains(loaded, model) && (first == "" || model < first) {
			first = model
		}
	}
	return first
}
