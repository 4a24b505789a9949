// Package audit keeps a bounded audit trail of changes and bounded records of
// the latest requests in memory. Nothing is written to disk; each change is also
// written to the log.
package audit
