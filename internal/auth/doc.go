// Package auth authenticates callers by their keys and decides which models and
// routes they may use and in which regions their requests may run. Its functions
// are pure functions of a config.Config. A decision is repeated with the
// configuration in force right before each dispatch, and every second while a
// request runs.
package auth
