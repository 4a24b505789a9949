// Package routing chooses where a request runs: either a remote region, or the
// targets of the local region in order of preference. Choose is a pure function
// of its inputs and reports the reasons for its choice; Tracker maintains those
// inputs.
package routing
