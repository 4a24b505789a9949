package routereport

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/wigeonhill/wigeonhill/internal/httpclient"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const (
	// Path is the path of the report at the operators' interfaces.
	Path = "/route"
	// headerField is the header with which headers of the request are described, each
	// as "Name: value".
	headerField = "Wigeonhill-Request-Header"
	// queryTimeout bounds the query of a client. A report takes milliseconds, but it may
	// wait for others, and instances bound the writing of a response by the same time.
	queryTimeout = 10 * time.Second
	// maxHead bounds the head of the response. Reports have a few short headers; a wrong
	// address may send a head without end.
	maxHead = 16 << 10
	// maxReport bounds the body of the response. A target takes about 400 bytes, so that
	// it has room for more than 100,000 targets.
	maxReport = 64 << 20
)

// Request describes the request of a caller. Its headers may hold a key: neither they
// nor the query of the path may be shown or logged.
type Request struct {
	Host, Path, Method string
	Header             http.Header
}

// AddHeader adds a header of the form "Name: value". The error does not show it.
func (r *Request) AddHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return errors.New("a header does not have the form 'Name: value'")
	}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Add(name, value)
	return nil
}

// errorBody is the body of a response without a report.
type errorBody struct {
	Error struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Message string `json:"message"`
	} `json:"error"`
}

// Handler returns the handler for Path. report returns the report or a *result.Error;
// it must not show the headers of the request. One report is made at a time, so that
// queries do not take the processor from requests; a query whose client is gone stops
// waiting.
func Handler(report func(*Request) (*Report, error)) http.Handler {
	making := make(chan struct{}, 1)
	makeOne := func(ctx context.Context, req *Request) (*Report, error) {
		select {
		case making <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		defer func() { <-making }()
		if err := ctx.Err(); err != nil { // select is random if both are ready
			return nil, err
		}
		return report(req)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := http.StatusOK, any(nil)
		req, err := parseRequest(r)
		if err == nil {
			body, err = makeOne(r.Context(), req)
		}
		if err != nil {
			e := result.FromError(err)
			b := errorBody{}
			b.Error.Code, b.Error.Name, b.Error.Message = int(e.Code), e.Code.String(), e.Message
			status, body = e.Code.Status(), b
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body) // fails only if the client closed the connection
	})
}

func parseRequest(r *http.Request) (*Request, error) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, result.New(result.BadRequest, result.NotRun, "the query string cannot be parsed")
	}
	req := &Request{Host: query.Get("host"), Path: query.Get("path"), Method: query.Get("method"), Header: http.Header{}}
	if req.Path == "" {
		req.Path = "/"
	}
	if req.Method == "" {
		req.Method = http.MethodGet
	}
	for _, line := range r.Header[headerField] {
		if err := req.AddHeader(line); err != nil {
			return nil, result.New(result.BadRequest, result.NotRun, "%s: %v", headerField, err)
		}
	}
	return req, nil
}

// Query asks the instance at address for a report, which it returns in JSON too.
func Query(ctx context.Context, address string, r *Request) (*Report, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := url.Values{"host": {r.Host}, "path": {r.Path}, "method": {r.Method}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, (&url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: query.Encode()}).String(), nil)
	if err != nil {
		return nil, nil, errors.Newf("%q is not an address", address)
	}
	for name, values := range r.Header {
		for _, value := range values {
			req.Header.Add(headerField, name+": "+value)
		}
	}
	client := httpclient.New(httpclient.Config{ConnectTimeout: queryTimeout, MaxHead: maxHead, MaxBody: maxReport})
	resp, err := client.Do(req)
	if err != nil {
		// The error of the client shows the URL, which may hold a key in the path.
		var withURL *url.Error
		if errors.As(err, &withURL) {
			err = withURL.Err
		}
		return nil, nil, errors.Wrapf(err, "the instance at %s does not answer", address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "read the response of %s", address)
	}
	return decode(address, resp.StatusCode, body)
}

func decode(address string, status int, body []byte) (*Report, []byte, error) {
	if status == http.StatusRequestHeaderFieldsTooLarge {
		return nil, nil, errors.Newf("the headers are longer than %s accepts", address)
	}
	if status != http.StatusOK {
		var e errorBody
		if json.Unmarshal(body, &e) != nil || e.Error.Name == "" {
			return nil, nil, errors.Newf("%s has no report: status %d; is it the metrics address of an instance on the platform?", address, status)
		}
		return nil, nil, errors.Newf("%s (%d): %s", e.Error.Name, e.Error.Code, e.Error.Message)
	}
	r := &Report{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, nil, errors.Newf("the response of %s is not a report", address)
	}
	return r, body, nil
}
