package standin

import "fmt"

// Framings are the ways in which Response marks the end of a body.
var Framings = []string{"length", "chunks", "close"}

// Response returns a whole response. head is its status line and header lines, each
// with its line end, without those of the framing.
func Response(head, framing, body string) string {
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	case "chunks":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + "\r\n" + body
}

// BrokenResponse is a response of a faulty target, whole but for its invalid head.
type BrokenResponse struct{ Name, Text string }

// invalidStatuses are texts in place of a status. 101 is valid only if it was asked for.
var invalidStatuses = []string{"000", "001", "099", "+99", "-00", "101", "600", "999"}

// invalidLines are header lines whose names are not tokens: they hold a blank or a control
// byte, or nothing.
var invalidLines = []string{
	"X Broken: 1", "X-Broken : 1", "X-Broken\t: 1", "X\tBroken: 1", "X\x00Broken: 1", "X\x01Broken: 1", "\x0bX-Broken: 1",
	"X-Broken\x7f: 1", "X\rBroken: 1", ": 1", " : 1", " X-Broken: 1", "\tX-Broken: 1", " Content-Length: 3", "Content-Length : 3", "Content Length: 3", "Transfer-Encoding : chunked",
}

// BrokenResponses returns responses whose heads are not valid, in all framings.
// headers are header lines, each with its line end. Some of the bodies are themselves
// like a response, for which they must not be taken.
func BrokenResponses(headers, body string) (out []BrokenResponse) {
	for _, framing := range Framings {
		for _, status := range invalidStatuses {
			head := "HTTP/1.1 " + status + " Broken\r\n" + headers
			inner := Response("HTTP/1.1 200 OK\r\n"+headers, "length", body)
			out = append(out, BrokenResponse{fmt.Sprintf("status %s, %s", status, framing), Response(head, framing, body)},
				BrokenResponse{fmt.Sprintf("status %s, %s, a response in the body", status, framing), Response(head, framing, inner)})
		}
		for _, line := range invalidLines {
			head := "HTTP/1.1 200 OK\r\n" + headers + line + "\r\n"
			out = append(out, BrokenResponse{fmt.Sprintf("line %q, %s", line, framing), Response(head, framing, body)})
		}
	}
	return out
}
