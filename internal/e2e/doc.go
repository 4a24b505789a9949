// Package e2e contains end-to-end tests that run instances and simulated
// external systems as processes on the loopback interface. They are skipped with
// -short.
package e2e
