// Package membership detects which instances are alive. Each instance probes one
// member at a time, asks others to probe a member that does not answer, and
// gives a suspected member time to refute before it counts as dead. Messages
// carry a bounded number of changes, so that the bytes a second of a node do
// not grow with the fleet. The result decides which instances are used, never
// which one holds a right.
//
// The method is that of Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol".
package membership
