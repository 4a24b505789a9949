// Package lease bounds what all instances together spend of a team's tokens
// and use of a target's slots. A Grantor, one per region and shard during its
// term, owns the region's part and hands out grants that expire; a Holder, one
// per instance, spends them.
package lease
