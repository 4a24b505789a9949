package standin

import (
	"bytes"
	"io"
	"strings"
)

// endlessBlockBytes is the size in bytes of the writes of an endless response.
const endlessBlockBytes = 32 << 10

// EndlessResponse is what a faulty target sends until its caller closes the
// connection.
type EndlessResponse struct {
	Name string
	// start is written once, repeat over and over.
	start, repeat string
	// InBody is set if the head is complete and only what follows has no end.
	InBody bool
}

// EndlessResponses returns responses without end, one for each part of a response
// that may not end. headers are header lines of the complete heads, each with its
// line end.
func EndlessResponses(headers string) []EndlessResponse {
	head := "HTTP/1.1 200 OK\r\n" + headers
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	events := head + "Content-Type: text/event-stream\r\n\r\n"
	long := strings.Repeat("x", 1000)
	return []EndlessResponse{
		{Name: "status line", start: "HTTP/1.1 200 ", repeat: long},
		{Name: "header line", start: "HTTP/1.1 200 OK\r\nX-Endless: ", repeat: long},
		{Name: "header lines", start: "HTTP/1.1 200 OK\r\n", repeat: "X-Endless: " + long + "\r\n"},
		{Name: "short header lines", start: "HTTP/1.1 200 OK\r\n", repeat: "X: y\r\n"},
		{Name: "early responses", repeat: "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
		{Name: "body without length", start: head + "\r\n", repeat: long, InBody: true},
		{Name: "body beyond its length", start: head + "Content-Length: 10\r\n\r\n", repeat: long, InBody: true},
		{Name: "chunks", start: chunked, repeat: "3e8\r\n" + long + "\r\n", InBody: true},
		{Name: "chunk size", start: chunked, repeat: "0", InBody: true},
		{Name: "chunk extension", start: chunked + "5;", repeat: long, InBody: true},
		{Name: "trailer line", start: chunked + "0\r\nX-Endless: ", repeat: long, InBody: true},
		{Name: "trailer lines", start: chunked + "0\r\n", repeat: "X-Endless: " + long + "\r\n", InBody: true},
		{Name: "event line", start: events + "data: ", repeat: long, InBody: true},
		{Name: "event of many lines", start: events, repeat: "data: " + long + "\n", InBody: true},
		{Name: "events", start: events, repeat: "data: " + long + "\n\n", InBody: true},
		{Name: "comments", start: events, repeat: ": " + long + "\n\n", InBody: true},
	}
}

// WriteTo implements io.WriterTo. It returns only when w fails.
func (r EndlessResponse) WriteTo(w io.Writer) (int64, error) {
	n, err := io.WriteString(w, r.start)
	written := int64(n)
	block := bytes.Repeat([]byte(r.repeat), max(endlessBlockBytes/len(r.repeat), 1))
	for err == nil {
		n, err = w.Write(block)
		written += int64(n)
	}
	return written, err
}
