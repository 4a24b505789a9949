// Package directory answers callers that ask which instances to use. The
// order is a pure function of the instances and the caller, so that any
// instance gives nearly the same answer.
package directory
