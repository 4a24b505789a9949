// Package lease bounds what all instances together spend of a team's tokens and
// use of a target's slots. A Ledger belongs to the leader of one region and
// shard during its leadership lease: it owns the region's share and grants
// leases that expire. A Holder, one per instance, spends them.
package lease
