package targetconn

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Request is a request to a target.
type Request struct {
	Method string
	// Target is the path and query as they are sent.
	Target string
	Host   string
	// Header is sent without the fields that belong to the connection.
	Header http.Header
	Body   []byte
	// IDHeader is the name of the header that holds the request's id. A connection is
	// kept only if the response has the same value, and a response on a connection
	// that was used before is accepted only then.
	IDHeader string
	// Reuse permits sending on a connection that was used before. Such a connection
	// may be closed by the target at the moment of sending, after which nobody knows
	// whether the request was run.
	Reuse bool
	// MaxConns bounds the connections to the address with which this one is still
	// kept after its response; 0 keeps none.
	MaxConns int
}

// connectionFields are the fields of the header that the sender sets itself or that
// are about the caller's connection.
var connectionFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Connection": true, "Keep-Alive": true, "Upgrade": true}

// keeps reports whether the connection may be used again after the request.
func (r *Request) keeps() bool { return r.Reuse && r.MaxConns > 0 && r.id() != "" }

func (r *Request) id() string {
	if r.IDHeader == "" {
		return ""
	}
	return r.Header.Get(r.IDHeader)
}

// ErrInvalidRequest is the cause of errors for requests that are not sent because they
// would not be read as they are meant.
var ErrInvalidRequest = errors.New("the request cannot be written")

// check returns an error if the head of the request would not be read as it is
// meant.
func (r *Request) check() error {
	switch {
	case !isToken(r.Method):
		return errors.Wrapf(ErrInvalidRequest, "invalid method %q", r.Method)
	case !strings.HasPrefix(r.Target, "/") || strings.ContainsFunc(r.Target, isControl) || strings.Contains(r.Target, " "):
		return errors.Wrapf(ErrInvalidRequest, "invalid request target %q", r.Target)
	case strings.ContainsFunc(r.Host, isControl) || strings.Contains(r.Host, " "):
		return errors.Wrapf(ErrInvalidRequest, "invalid host %q", r.Host)
	}
	for name, values := range r.Header {
		if !isToken(name) {
			return errors.Wrapf(ErrInvalidRequest, "invalid name of a header %q", name)
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n\x00") {
				return errors.Wrapf(ErrInvalidRequest, "invalid value of header %s", name)
			}
		}
	}
	return nil
}

// isControl reports whether r is a control character.
func isControl(r rune) bool { return r < ' ' || r == 0x7f }

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// writeHead writes the head of the request to b. keeps is set if the connection may be
// used again.
func (r *Request) writeHead(b *bytes.Buffer, keeps bool) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if !keeps {
		b.WriteString("Connection: close\r\n")
	}
	_ = r.Header.WriteSubset(b, connectionFields) // a bytes.Buffer returns no errors
	b.WriteString("\r\n")
}
