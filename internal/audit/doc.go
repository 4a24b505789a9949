// Package audit keeps a bounded trail of changes and a bounded set of request
// records in memory. Nothing is written to disk; the trail is also streamed
// as log lines.
package audit
