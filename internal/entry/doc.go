// Package entry serves callers over HTTP: it authenticates them, strips the API
// key, reads the request within limits on size, memory and time, hands it to
// dispatch, and writes the response as fast as the caller reads it while
// buffering a bounded number of bytes.
package entry
