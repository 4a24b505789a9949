// Package pace limits the requests in flight at targets that have started, have come
// back, or have become slow. The limit, called the window, is one for all instances
// of a region: it starts small, grows with each response that is sound and within its
// objective, and is halved by each one that is not. Each instance computes the window
// from its own responses and from the counts that the others report in heartbeats,
// and uses the share of it that roster.Share gives. The package reads no clock and
// sends nothing.
package pace
