// Package membership detects which instances are alive. Each instance probes one
// member at a time, asks other members to probe a member that does not respond,
// and gives a suspected member time to refute the suspicion before it is
// declared dead. Messages carry a bounded number of updates, so that the
// traffic per instance does not grow with the number of instances. The result
// decides which instances are used, never which instance is leader or holds a
// lease.
//
// The protocol is that of Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol".
package membership
