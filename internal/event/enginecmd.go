package event

import "go.uber.org/zap/zapcore"

// Events 700 to 799: engine commands.
var EngineCommandSent = define(700, "engine command sent", zapcore.InfoLevel, "the engine was told to load a model; fields give the fencing token and the outcome")
