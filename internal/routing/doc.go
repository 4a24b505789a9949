// Package routing chooses where a request runs: a region, and in the own region
// an order of targets. The choice is a pure function of its inputs and comes
// with its reasons.
package routing
