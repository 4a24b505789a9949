// Package leadership elects one instance as leader of a region's shard by a
// quorum lease without durable state. A Voter promises the leadership lease to
// one candidate at a time; a Candidate that holds the promises of a majority of
// the published voters is leader until its lease expires. Both are pure: they
// take clock readings and messages and do no I/O. The Manager runs them.
package leadership
