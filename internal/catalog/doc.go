// Package catalog keeps what the platform publishes: the configuration, the
// evacuated failure domains and the targets. It reads the store, never goes
// back to an older state, survives outages of the store on what it has, and
// takes newer states from other instances while the store does not answer here.
package catalog
