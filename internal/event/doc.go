// Package event defines the numbered log events and builds the zap logger.
// Each area of the system keeps its events in a file of its own here;
// docs/EVENTS.md lists them all and a test compares the two.
package event
