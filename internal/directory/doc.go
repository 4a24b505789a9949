// Package directory tells callers which instances to use. The order of the
// instances is a pure function of the known instances and the caller, so that
// all instances give nearly the same response.
package directory
