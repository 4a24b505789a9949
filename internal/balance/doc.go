// Package balance spreads callers over instances in proportion to what
// they can carry. It decides which instances a caller is told to use, and measures the
// load that an instance advertises. It has no network access and no clock.
package balance
