// Package targetconn sends HTTP/1.1 requests to targets with the bytes of their
// request targets unchanged, which net/http cannot do, and keeps connections for
// further requests. A connection is kept only if nothing that was received on it can
// be taken for the response to another request; see docs/design/target-connections.md.
package targetconn
