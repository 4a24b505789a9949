// Package roster divides a rate among the instances of a region so that the sum of
// all shares stays within the rate also while instances do not hear each other.
// Nobody publishes a list of instances, so that an instance which hears no other
// cannot tell whether it is alone.
//
// The rate is first divided among the failure domains of the region, which the
// settings name. Within a failure domain an instance has a share once every
// instance that it knows of there counts it: each heartbeat names the incarnations
// that its sender counts. So for any two instances with a share, each counts the
// other, and the sum holds. An instance that has stopped sending heartbeats still
// counts until the heartbeat table forgets it, unless it announced that it leaves;
// but after five minutes others no longer wait for it before they get a share.
//
// An instance that has just started knows nothing of what came before. It gets a
// first share only if it hears an instance of its failure domain that has one, or
// more than half of the seeds.
package roster
