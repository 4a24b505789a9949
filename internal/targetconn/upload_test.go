package targetconn

import (
	"io"
	"net/http"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// uploadRounds is how often each case is played: whether the reset is first seen by the
// writing of the request or by the reading of the response depends on their timing.
const uploadRounds = 30

// A target that answers before it has read the request and then resets the connection
// has not completed its response, however its end would be marked.
func TestResetDuringUploadEndsNoResponse(t *testing.T) {
	for _, framing := range append([]string{"HTTP/1.0"}, standin.Framings...) {
		for _, end := range []standin.UploadEnd{standin.ResetUpload, standin.FinishUpload, standin.AbandonUpload} {
			l, err := standin.ListenForUploads()
			if err != nil {
				t.Fatal(err)
			}
			go standin.ServeUploads(l, func(*http.Request) (string, standin.UploadEnd) {
				return standin.EarlyResponse(framing, "", "part", end), end
			})
			p := newTestPool(nil)
			for range uploadRounds {
				r := &Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20)}
				body := ""
				resp, err := p.RoundTrip(t.Context(), l.Addr().String(), r, Trace{})
				if err == nil {
					var b []byte
					b, err = io.ReadAll(resp.Body)
					body = string(b)
					_ = resp.Body.Close()
				}
				if (err == nil) != (end != standin.ResetUpload) || err == nil && body != "part" {
					t.Errorf("%s, end %d: body %q, error %v", framing, end, body, err)
				}
			}
			_ = l.Close()
		}
	}
}
