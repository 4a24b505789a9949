package event

import "go.uber.org/zap/zapcore"

// Events 700 to 799: orders to engines.
var OrderSent = define(700, "engine order sent", zapcore.InfoLevel, "the engine was told to load a model; fields give the fencing number and the outcome")
