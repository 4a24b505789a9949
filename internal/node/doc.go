// Package node builds the managers of one instance and runs them together.
package node
