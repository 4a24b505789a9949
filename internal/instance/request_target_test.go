package instance

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// requestTargets are all forms of request targets with the path and query that a
// target has to receive; empty if it has to receive nothing.
var requestTargets = []struct{ method, sent, want string }{
	{"POST", "/unsafe/7?x=7", "/unsafe/7?x=7"},
	{"POST", "//unsafe/7?x=7", "//unsafe/7?x=7"},
	{"POST", "///unsafe//7", "///unsafe//7"},
	{"POST", "//unsafe", "//unsafe"},
	{"POST", "//", "//"},
	{"GET", "//other.example:80/safe/7", "//other.example:80/safe/7"},
	{"GET", "//user@other.example/", "//user@other.example/"},
	{"POST", "/", "/"},
	{"POST", "/?", "/?"},
	{"POST", "//?", "//?"},
	{"POST", "/unsafe/7?", "/unsafe/7?"},
	{"POST", "/unsafe/7??x", "/unsafe/7??x"},
	{"POST", "/unsafe/7?x=//y", "/unsafe/7?x=//y"},
	{"POST", "/unsafe/../safe/./7", "/unsafe/../safe/./7"},
	{"POST", "/..//../7", "/..//../7"},
	{"POST", "//../7", "//../7"},
	{"POST", "/unsafe/a%2Fb%2fc", "/unsafe/a%2Fb%2fc"},
	{"POST", "/%2Funsafe/7", "/%2Funsafe/7"},
	{"POST", "//%2e%2E/%7e", "//%2e%2E/%7e"},
	{"POST", "/unsafe/%00%ff", "/unsafe/%00%ff"},
	{"POST", "/unsafe/a:b;c=d,e@f!$&'()*+", "/unsafe/a:b;c=d,e@f!$&'()*+"},
	{"POST", "/unsafe/[a]|b\"c<d>^`{e}\\", "/unsafe/[a]|b\"c<d>^`{e}\\"},
	{"POST", "//a|b\"c<d>^`{e}\\?\"<>", "//a|b\"c<d>^`{e}\\?\"<>"},
	{"POST", "/unsafe/b\xc3\xbccher?\xff", "/unsafe/b\xc3\xbccher?\xff"},
	{"POST", "//b\xc3\xbccher", "//b\xc3\xbccher"},
	{"POST", "/unsafe/7#part", "/unsafe/7#part"},
	{"POST", "//unsafe/7#part?x", "//unsafe/7#part?x"},
	{"POST", "/http://other.example/7", "/http://other.example/7"},
	{"OPTIONS", "//unsafe/7", "//unsafe/7"},
	{"POST", "http://shop.example/unsafe/7?x=7", "/unsafe/7?x=7"},
	{"POST", "http://shop.example//unsafe/7", "//unsafe/7"},
	{"POST", "HTTP://shop.example:8080/unsafe/7?", "/unsafe/7?"},
	{"POST", "https://shop.example/unsafe/7", "/unsafe/7"},
	{"POST", "http://shop.example", "/"},
	{"POST", "http://shop.example?x=/7", "/?x=/7"},
	{"POST", "http://other.example/unsafe/7", ""},
	{"POST", "ftp://shop.example/unsafe/7", ""},
	{"POST", "shop.example:80", ""},
	{"POST", "mailto:shop.example", ""},
	{"OPTIONS", "*", ""},
	{"POST", "*", ""},
	{"CONNECT", "shop.example:80", ""},
	{"POST", "unsafe/7", ""},
	{"POST", "?x", ""},
	{"POST", "/unsafe/%zz", ""},
	{"POST", "//unsafe/%", ""},
}

// requestTargetTest is a deployment with a route for every path, whose only target is
// in the region of the second of two instances.
type requestTargetTest struct {
	target *fakeTarget
	// byHop are the addresses for callers of the second instance (false) and the first.
	byHop map[bool]string
	mu    sync.Mutex
	// received are the requests that the target received, by request id.
	received map[string][]string
	count    int
}

func newRequestTargetTest(t testing.TB) *requestTargetTest {
	rt := &requestTargetTest{received: map[string][]string{}}
	d := newTestDeployment(t)
	rt.target = newFakeTarget(t, "t-1")
	rt.target.Config.DisableGeneralOptionsHandler = true
	rt.target.setHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		rt.mu.Lock()
		defer rt.mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		rt.received[id] = append(rt.received[id], r.Method+" "+r.RequestURI+" "+r.Host)
		return false
	})
	d.publishConfig(func(config map[string]any) {
		all := map[string]any{}
		for k, v := range config["routes"].([]any)[1].(map[string]any) {
			all[k] = v
		}
		all["name"], all["prefix"] = "all", "/"
		config["routes"] = append(config["routes"].([]any), all)
	})
	d.listTarget(rt.target, "b", "ready", 1)
	entry, home := d.startInstance("a"), d.startInstance("b")
	rt.byHop = map[bool]string{true: entry.settings.Listen.Callers, false: home.settings.Listen.Callers}
	for _, inst := range []*testInstance{entry, home} {
		eventually(t, "the target is reached", func() bool { return sendRequest("POST", inst.url("/unsafe/x"), nil).status == http.StatusOK })
	}
	return rt
}

// send sends a request and returns its status, 0 if there is none, and what the target
// received.
func (rt *requestTargetTest) send(t testing.TB, hop bool, method, target string) (status int, received []string) {
	rt.mu.Lock()
	rt.count++
	id := fmt.Sprintf("target-%d", rt.count)
	rt.mu.Unlock()
	conn, err := net.Dial("tcp", rt.byHop[hop])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nApi-Key: key-of-the-hotel\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, target, id)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return status, rt.received[id]
}

// Guards against a request that reaches a target with another path than its caller
// sent: a path that begins with two slashes became the address of another host.
func TestRequestTargetReachesTargetUnchanged(t *testing.T) {
	rt := newRequestTargetTest(t)
	for _, c := range requestTargets {
		for _, hop := range []bool{false, true} {
			status, received := rt.send(t, hop, c.method, c.sent)
			var want []string
			if c.want != "" {
				want = []string{c.method + " " + c.want + " shop.example"}
			}
			if fmt.Sprintf("%q", received) != fmt.Sprintf("%q", want) || (status == http.StatusOK) != (c.want != "") {
				t.Errorf("hop %t, %s %q: status %d, received %q, want %q", hop, c.method, c.sent, status, received, want)
			}
		}
	}
}

// FuzzRequestTarget sends any request target, directly and through a hop. The target
// receives it unchanged or, unless the response is 200, not at all. Fuzz it with
// -parallel=1, since all processes of a test listen on the same addresses.
func FuzzRequestTarget(f *testing.F) {
	for _, c := range requestTargets {
		f.Add(c.method, c.sent)
	}
	var rt *requestTargetTest
	// The process that coordinates the fuzzing calls no fuzz function; its deployment
	// would have the addresses of that of the worker.
	if flag.Lookup("test.fuzz").Value.String() == "" || flag.Lookup("test.fuzzworker").Value.String() == "true" {
		rt = newRequestTargetTest(f)
	}
	f.Fuzz(func(t *testing.T, method, target string) {
		if method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" || strings.ContainsAny(target, " \t\r\n") {
			t.Skip("not one request line")
		}
		for _, hop := range []bool{false, true} {
			status, received := rt.send(t, hop, method, target)
			if len(received) == 0 && status != http.StatusOK {
				continue
			}
			parts := strings.SplitN(strings.Join(received, "\n"), " ", 3)
			if len(received) != 1 || len(parts) != 3 || parts[0] != method || !strings.HasSuffix(target, strings.TrimPrefix(parts[1], "/")) || strings.HasPrefix(target, "/") && parts[1] != target {
				t.Errorf("hop %t, %s %q: status %d, received %q", hop, method, target, status, received)
			}
		}
	})
}
