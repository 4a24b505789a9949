// Package httpabort breaks off HTTP responses so that the caller cannot take them
// for complete.
package httpabort

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext is a hook for http.Server.ConnContext. Abort needs it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Abort ends the handler of r and closes the connection. A response to HTTP/1.0
// without Content-Length ends with its connection, so that connection is reset.
func Abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error }); ok && !r.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0) // fails only if the connection is closed
	}
	panic(http.ErrAbortHandler)
}
