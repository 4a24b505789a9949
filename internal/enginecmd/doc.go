// Package enginecmd tells model engines to load the models that the table gives
// them. Only the grantor of a target's shard sends orders, with the ballot of
// its term as fencing number.
package enginecmd
