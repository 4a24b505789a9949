// Package auth decides who may call what and in which regions. Its functions
// are pure over a table.Edition and are called again with the newest edition
// right before each dispatch and every second while a request runs.
package auth
