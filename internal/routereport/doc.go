// Package routereport holds the report of where an instance would send a request: its
// JSON form, its text for people, and the HTTP handler and client for it. The instance
// makes the report with its own decision code; see docs/design/route.md.
package routereport
