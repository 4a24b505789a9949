// Package httpclient makes the HTTP clients of the program. What another process
// sends may have no end, in any part of a response, so each client bounds the bytes
// that it keeps: those of a head, with the informational responses before it, and
// those of a body, unless the reader of the body bounds what it holds. How many
// calls are in flight at once is bounded by the packages that make them;
// docs/incidents/lost-endless-responses.md lists all calls with their bounds.
//
// A response with an invalid head, or one that ends with a connection that was reset, is
// an error.
//
// TestClientsAreMadeHere fails if another package makes a client.
package httpclient
