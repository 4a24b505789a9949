// Package leadership makes one instance the grantor of a region's shard by a
// diskless quorum lease. A Voter promises a term to one candidate at a time; a
// Candidate that holds the promises of a majority of the published seats is
// grantor until its term runs out. Both are pure: they take clock readings and
// messages and do no I/O. The Manager runs them.
package leadership
