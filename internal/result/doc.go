// Package result defines the numbered result codes that callers and operators
// see, and the error type that carries them. docs/ERRORS.md lists every code;
// a test compares that page with the table in this package.
package result
