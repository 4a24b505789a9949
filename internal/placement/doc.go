// Package placement decides where a request runs: on a target of the local region,
// in another region, or not at all. Decisions are pure functions of views. Tracker
// keeps the estimates behind the views: load of targets, cached prompt parts,
// slowdown, warm-up and failures.
package placement
