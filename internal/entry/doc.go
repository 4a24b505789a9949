// Package entry serves callers over HTTP: it checks and strips the key, reads
// the request within bounds, hands it to dispatch, and writes the answer at
// the speed of the caller while it holds a bounded number of bytes.
package entry
