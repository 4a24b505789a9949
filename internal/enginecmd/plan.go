package enginecmd

import (
	"slices"

	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
)

// kindLoadModel is the kind of a command to load a model.
const kindLoadModel = "load_model"

// Command is an engine command, the body of POST /orders to an engine.
type Command struct {
	Kind         string `json:"kind"`
	Name         string `json:"name"`
	Version      string `json:"version,omitempty"`
	FencingToken uint64 `json:"fencing"`
}

// EngineState is the part of an engine's load report that this package uses.
type EngineState struct {
	// Models are the loaded models; nil if the engine does not report them.
	Models []string `json:"models"`
	// FencingToken is the highest fencing token that the engine has received.
	FencingToken uint64 `json:"fencing"`
}

// TargetCommand is a command for one target.
type TargetCommand struct {
	Target  *config.Target
	Command Command
}

// PlanCommands returns the commands that make the engines of a shard load the
// models that the configuration assigns to them: one command per engine, for the
// first missing model by name. Engines in skip, engines in unknown state and
// engines that do not report their models get none. It returns at most limit
// commands, in the order of the targets' names, because the model registry limits
// its rate.
func PlanCommands(cfg *config.Config, shard leadership.Shard, ballot uint64, states map[string]EngineState, skip map[string]bool, limit int) []TargetCommand {
	region := cfg.Regions[shard.Region]
	if region == nil {
		return nil
	}
	var names []string
	for name, t := range cfg.Targets {
		if t.Kind == config.Engine && t.Region == shard.Region && leadership.ShardFor(region, name) == shard && !skip[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var commands []TargetCommand
	for _, name := range names {
		if len(commands) == limit {
			break
		}
		state, known := states[name]
		if !known || state.Models == nil {
			continue
		}
		if model := firstMissing(cfg.Targets[name].Models, state.Models); model != "" {
			commands = append(commands, TargetCommand{cfg.Targets[name], Command{Kind: kindLoadModel, Name: model, FencingToken: ballot}})
		}
	}
	return commands
}

// firstMissing returns the first wanted model by name that is not loaded, or "".
func firstMissing(wanted map[string]bool, loaded []string) string {
	first := ""
	for model := range wanted {
		if !slices.Contains(loaded, model) && (first == "" || model < first) {
			first = model
		}
	}
	return first
}
