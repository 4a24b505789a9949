package httpframing

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

func TestOnlyBodyWithoutLengthAndChunksEndsWithConnection(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nx":                                                 true,
		"HTTP/1.0 200 OK\r\n\r\nx":                                                 true,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx":                            false,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                             false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n": false,
		"HTTP/1.1 204 No Content\r\n\r\n":                                          false,
		"HTTP/1.1 304 Not Modified\r\n\r\n":                                        false,
	} {
		for method, allowed := range map[string]bool{http.MethodGet: true, http.MethodHead: false} {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
			if err != nil {
				t.Fatal(err)
			}
			if got := EndsWithConnection(resp); got != (want && allowed) {
				t.Errorf("%s %q: %v", method, text, got)
			}
		}
	}
}
