// Package balance spreads requests over instances and regions in proportion to what
// they can carry. It decides which instances a caller is told to use, measures the load
// that an instance advertises, and keeps one view of each other region, merged from the
// heartbeats of all of its instances. It has no network access and no clock.
package balance
