// Package e2e holds tests with real processes: instances and stand-ins on
// loopback. They are skipped with -short.
package e2e
