package instance

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// soakTarget is a fake target behind a proxy.
type soakTarget struct {
	*fakeTarget
	domain   string
	proxy    *proxy
	sequence atomic.Int64
}

// handle is the handler of the targets: it responds after a random delay, with
// events if the path is that of the stream route. Half of the responses are framed
// at random, and some of these are broken off.
func (s *soak) handle(w http.ResponseWriter, r *http.Request) bool {
	time.Sleep(time.Duration(s.intN(30)) * time.Millisecond)
	stream := strings.HasPrefix(r.URL.Path, "/stream/")
	if s.intN(2) == 0 {
		return stream && eventStream(eventsPerStream, eventsPerStream)(w, r)
	}
	target := strings.TrimPrefix(w.Header().Get("X-Response-Signature"), "signed-by-")
	response := rawResponse{framing: []string{"length", "chunks", "close"}[s.intN(3)], contentType: "text/plain"}
	response.body = fmt.Sprintf("%s %s %s", target, r.RequestURI, r.Header.Get("X-Request-Id"))
	if stream {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		response.body = strings.TrimPrefix(streamText(eventsPerStream, "\n"), streamText(after, "\n"))
		response.contentType = "text/event-stream"
	}
	if s.intN(3) == 0 && response.body != "" {
		s.breakOff(&response, stream)
	}
	return response.handler(target)(w, r)
}

// breakOff cuts a response, in a way that its receiver can detect.
func (s *soak) breakOff(response *rawResponse, stream bool) {
	whole := response.body
	cut := s.intN(len(whole))
	betweenEvents := cut > 0 && strings.HasSuffix(whole[:cut], "\n\n")
	response.body, response.complete = whole[:cut], whole
	response.reset = response.framing == "close" && (!stream || betweenEvents || s.intN(2) == 0)
	if stream && cut > 0 && !betweenEvents && s.intN(2) == 0 {
		response.complete = response.body // the framing says that it is whole
	}
}
