// Package catalog keeps the state that the platform publishes: the configuration,
// the evacuated failure domains and the targets. It reads the platform's store,
// never replaces a configuration or list by an older one, keeps the last known
// state during outages of the store, and takes newer state from other instances
// while the store is unreachable from here.
package catalog
