package httpclient_test

import (
	"bufio"
	"bytes"
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// testConfig has bounds that are far below those of net/http.
var testConfig = httpclient.Config{ConnectTimeout: time.Second, CallTimeout: time.Minute, MaxHead: 8 << 10, MaxBody: 10_000}

// maxOverhead is what a connection buffers beyond the bounds, in bytes.
const maxOverhead = 16 << 10

// pipeServer returns a Dial function whose connections are without buffers and are
// served with response. taken is set to the number of bytes that the client took.
func pipeServer(response standin.EndlessResponse, taken chan<- int64) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				n, _ := response.WriteTo(server)
				taken <- n
			}
		}()
		return client, nil
	}
}

// Whatever part of a response has no end, the client takes no more than its bounds.
func TestClientTakesNoMoreThanItsBounds(t *testing.T) {
	for _, response := range standin.EndlessResponses("") {
		t.Run(response.Name, func(t *testing.T) {
			config, taken := testConfig, make(chan int64, 1)
			config.Dial = pipeServer(response, taken)
			resp, err := httpclient.New(config).Get("http://target/")
			if response.InBody != (err == nil) {
				t.Fatalf("error %v", err)
			}
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil && response.Name != "body beyond its length" {
					t.Errorf("a body of %d bytes was read without an error", len(body))
				}
			}
			if n := <-taken; n > testConfig.MaxHead+testConfig.MaxBody+maxOverhead {
				t.Errorf("the client took %d bytes", n)
			}
		})
	}
}

// A body that is not read is not taken either.
func TestUnreadBodyIsNotTaken(t *testing.T) {
	config, taken := testConfig, make(chan int64, 1)
	config.MaxBody = httpclient.UnboundedBody
	for _, response := range standin.EndlessResponses("") {
		if response.Name != "body without length" {
			continue
		}
		config.Dial = pipeServer(response, taken)
		resp, err := httpclient.New(config).Get("http://target/")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if n := <-taken; n > maxOverhead {
			t.Errorf("the client took %d bytes", n)
		}
	}
}

func TestBodyUpToBoundIsRead(t *testing.T) {
	for size, wantErr := range map[int]bool{10_000: false, 10_001: true} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}))
		resp, err := httpclient.New(testConfig).Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) != wantErr || !wantErr && len(body) != size {
			t.Errorf("body of %d bytes: read %d, error %v", size, len(body), err)
		}
		s.Close()
	}
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	resp, err := httpclient.New(testConfig).Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusTemporaryRedirect || calls.Load() != 1 {
		t.Errorf("status %d after %d calls", resp.StatusCode, calls.Load())
	}
}

// A client that is made without this package lacks bounds: net/http keeps up to
// 10 MB of a head, follows redirects and uses the proxy of the environment.
func TestClientsAreMadeHere(t *testing.T) {
	root := filepath.Join("..", "..")
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if name := d.Name(); path != root && (strings.HasPrefix(name, ".") || name == "target" || name == "httpclient") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		for _, found := range clientsIn(file) {
			t.Errorf("%s uses http.%s; use package httpclient", set.Position(found.Pos()), found.Sel.Name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 100 {
		t.Errorf("only %d files were read", files)
	}
}

// clientsIn returns the uses of net/http by which a client or transport is made.
// Pointers to them, as in fields and parameters, make none.
func clientsIn(file *ast.File) (found []*ast.SelectorExpr) {
	pkg := ""
	for _, i := range file.Imports {
		if i.Path.Value == `"net/http"` {
			if pkg = "http"; i.Name != nil {
				pkg = i.Name.Name
			}
		}
	}
	makers := map[string]bool{"Client": true, "Transport": true, "DefaultClient": true, "DefaultTransport": true, "Get": true, "Head": true, "Post": true, "PostForm": true}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.StarExpr:
			return false
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && pkg != "" && x.Name == pkg && makers[n.Sel.Name] {
				found = append(found, n)
			}
		}
		return true
	})
	return found
}

func TestCheckFindsClients(t *testing.T) {
	for code, want := range map[string]int{
		"var c = &http.Client{}":                              1,
		"var c http.Client":                                   1,
		"var c = new(http.Transport)":                         1,
		"func f() { http.Get(\"x\") }":                        1,
		"func f() { http.DefaultClient.Do(nil) }":             1,
		"func f(c *http.Client) { c.Get(\"x\") }":             0,
		"type t struct { c *http.Client; http.RoundTripper }": 0,
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\nimport \"net/http\"\n"+code, 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := len(clientsIn(file)); got != want {
			t.Errorf("%s: found %d, want %d", code, got, want)
		}
	}
}

// A response whose head is not valid is an error, and its connection is not used again.
func TestResponseWithInvalidHeadIsAnError(t *testing.T) {
	for _, broken := range append(standin.BrokenResponses("Server: target\r\n", "body"), standin.BrokenResponses("Content-Length: 0\r\n", "")...) {
		t.Run(broken.Name, func(t *testing.T) {
			var conns atomic.Int64
			config := testConfig
			config.IdleTimeout = time.Minute
			config.Dial = func(context.Context, string, string) (net.Conn, error) {
				conns.Add(1)
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					in := bufio.NewReader(server)
					for {
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						if _, err := io.WriteString(server, broken.Text); err != nil || strings.Contains(broken.Name, "close") {
							return
						}
					}
				}()
				return client, nil
			}
			client := httpclient.New(config)
			for range 2 {
				if resp, err := client.Get("http://target/"); err == nil {
					t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
					_ = resp.Body.Close()
				}
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("%d connections for two requests", n)
			}
		})
	}
}

// A target that answers before it has read the request and then resets the connection
// has not completed its response, however its end would be marked. Which side of the
// connection sees the reset first depends on the timing of each round.
func TestResetDuringUploadEndsNoResponse(t *testing.T) {
	config := testConfig
	config.MaxBody = httpclient.UnboundedBody
	for _, framing := range append([]string{"HTTP/1.0"}, standin.Framings...) {
		for _, end := range []standin.UploadEnd{standin.ResetUpload, standin.FinishUpload} {
			l, err := standin.ListenForUploads()
			if err != nil {
				t.Fatal(err)
			}
			go standin.ServeUploads(l, func(*http.Request) (string, standin.UploadEnd) {
				return standin.EarlyResponse(framing, "", "part", end), end
			})
			client := httpclient.New(config)
			for range 30 {
				body := ""
				resp, err := client.Post("http://"+l.Addr().String(), "", bytes.NewReader(make([]byte, 8<<20)))
				if err == nil {
					var b []byte
					b, err = io.ReadAll(resp.Body)
					body = string(b)
					_ = resp.Body.Close()
				}
				if (err == nil) != (end == standin.FinishUpload) || err == nil && body != "part" {
					t.Errorf("%s, end %d: body %q, error %v", framing, end, body, err)
				}
			}
			_ = l.Close()
		}
	}
}

// The hooks of a request are called for its own connections only.
func TestTracesOfRequestsAreApart(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	client := httpclient.New(testConfig)
	var calls [3]int
	for i := range calls {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { calls[i]++ }})
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	if calls != [3]int{1, 1, 1} {
		t.Errorf("hooks were called %v times", calls)
	}
}
