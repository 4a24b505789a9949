// Package placement decides where a request runs: on which target of the own
// region, or in which other region, or not at all. Decisions are pure functions
// of views; the beliefs behind the views (load of targets, cached prompt parts,
// pace, warm-up, faults) are kept in Tracker.
package placement
