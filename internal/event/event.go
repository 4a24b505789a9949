package event

import (
	"fmt"
	"sort"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line. Numbers are never reused.
type Event struct {
	Number  int
	Name    string
	Level   zapcore.Level
	Meaning string // one line for docs/EVENTS.md
}

var definedEvents = map[int]Event{}

// define registers an event. It panics on a duplicate number, a programming
// error that any test of this package finds.
func define(number int, name string, level zapcore.Level, meaning string) Event {
	if old, ok := definedEvents[number]; ok {
		panic(fmt.Sprintf("event %d is defined twice: %s and %s", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	definedEvents[number] = e
	return e
}

// All returns all events in ascending order.
func All() []Event {
	all := make([]Event, 0, len(definedEvents))
	for _, e := range definedEvents {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Logger writes events.
type Logger struct{ z *zap.Logger }

// NewLogger returns a Logger that writes to z.
func NewLogger(z *zap.Logger) *Logger { return &Logger{z: z} }

// Nop returns a Logger that writes nothing.
func Nop() *Logger { return &Logger{z: zap.NewNop()} }

// With returns a Logger that adds fields to each event.
func (l *Logger) With(fields ...zap.Field) *Logger { return &Logger{z: l.z.With(fields...)} }

// Emit writes a line of the event e, with its number in the field "event".
func (l *Logger) Emit(e Event, fields ...zap.Field) {
	ce := l.z.Check(e.Level, e.Name)
	if ce == nil {
		return
	}
	all := make([]zap.Field, 0, len(fields)+1)
	all = append(all, zap.Int("event", e.Number))
	for _, f := range fields {
		all = append(all, withoutStackTrace(f))
	}
	ce.Write(all...)
}

// withoutStackTrace replaces an error field by the error's message. Otherwise zap
// adds the stack trace that cockroachdb/errors records, and each failed call
// logs a line of several kilobytes.
func withoutStackTrace(f zap.Field) zap.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	return f
}
