// Package server builds the managers and servers of one instance of
// `wigeonhill serve` and runs them together.
package server
