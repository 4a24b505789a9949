// Package enginecmd commands model engines to load the models that the
// configuration assigns to them. Only the leader of a target's shard sends engine
// commands, with the ballot of its leadership lease as fencing token.
package enginecmd
