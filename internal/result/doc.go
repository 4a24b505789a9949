// Package result defines the numbered result codes that callers and
// operators see, and the error type that carries them. docs/ERRORS.md
// lists all codes; a test compares the page with the table in this package.
package result
