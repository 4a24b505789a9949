// Package event defines the numbered log events and builds the zap logger.
// Each area of the system has its events in a file of its own. docs/EVENTS.md
// lists all events; a test compares the page with the code.
package event
