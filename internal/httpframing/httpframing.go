// Package httpframing keeps broken responses apart from complete ones: it checks the heads
// of responses, tells which responses end with their connection and whether that was
// reset, and shows callers that a response was broken off. A handler breaks a response
// off with panic(http.ErrAbortHandler).
package httpframing

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// CheckHead returns an error if the status of a final response is not between 200 and 599
// or the name of a field is not a token (RFC 9110, sections 15 and 5.1). net/http checks
// neither: it takes a Content-Length with a blank behind its name for another field, so
// that what it reads as the body need not be the one that the sender meant.
func CheckHead(status int, header http.Header) error {
	if status < 200 || status > 599 {
		return errors.Newf("the response has the invalid status %03d", status)
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("the response has a field with the invalid name %q", name)
		}
	}
	return nil
}

// EndsWithConnection reports whether only the end of the connection marks the end
// of a response's body, as it does too if the sender crashes.
func EndsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

type connKey struct{}

// ConnContext is a hook for http.Server.ConnContext. Handler and Conn need it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns the connection on which a request arrived, from the request's context;
// nil if it is not known.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// Handler wraps next. A response to HTTP/1.0 without Content-Length ends with its
// connection, so until next has returned, such a connection is reset when it is
// closed, also by the end of the process.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error })
		if r.ProtoAtLeast(1, 1) || !ok {
			next.ServeHTTP(w, r)
			return
		}
		// SetLinger fails only if the connection is closed.
		_ = c.SetLinger(0)
		next.ServeHTTP(w, r)
		_ = c.SetLinger(-1)
	})
}
