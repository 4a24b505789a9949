package entry

import (
	"net/http"
	"slices"
	"sort"

	"github.com/labstack/echo/v4"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

const idempotencyHeader = "Idempotency-Key"

func (s *Server) edition() (*config.Config, error) {
	if e := s.ConfigSource.Current(); e != nil {
		return e, nil
	}
	return nil, result.New(result.NotReady, result.NotRun, "the instance has no edition yet")
}

// completion prepares a request to an engine. The key is checked before the
// body is read.
func (x *exchange) completion() error {
	e, err := x.s.edition()
	if err != nil {
		return err
	}
	key := auth.BearerKey(x.r.Header)
	team, _, err := auth.Identify(e, key)
	if err != nil {
		return err
	}
	body, err := x.readBody(team.Name)
	if err != nil {
		return err
	}
	if err := auth.CheckNoKey("", body, key); err != nil {
		return err
	}
	p, err := dispatch.ParseCompletion(body)
	if err != nil {
		return err
	}
	permit, err := auth.ForModel(e, key, p.Model)
	if err != nil {
		return err
	}
	x.call = &dispatch.Call{ID: x.id, Permit: permit, Method: x.r.Method, Path: x.r.URL.Path, Arrived: x.start}
	return x.call.SetCompletion(p, e.Models[p.Model].MaxOutput)
}

// plain prepares a request to a plain service.
func (x *exchange) plain() error {
	idemKey, idemErr := x.idempotencyKey()
	e, err := x.s.edition()
	if err != nil {
		return err
	}
	key := auth.BearerKey(x.r.Header)
	path := x.r.URL.EscapedPath()
	permit, err := auth.ForRoute(e, key, x.r.Method, path)
	if err != nil {
		return err
	}
	if permit.Idempotent {
		idemKey, x.keyed = "", false
	} else if idemErr != nil {
		return idemErr
	}
	body, err := x.readBody(permit.Team)
	if err != nil {
		return err
	}
	if err := auth.CheckNoKey(path, body, key); err != nil {
		return err
	}
	x.call = &dispatch.Call{ID: x.id, Permit: permit, Method: x.r.Method, Path: path, Body: body, Arrived: x.start,
		RawQuery: auth.StripQuery(x.r.URL.RawQuery, key), Header: auth.EndToEnd(x.r.Header, key), IdempotencyKey: idemKey}
	return nil
}

func (x *exchange) idempotencyKey() (string, error) {
	values := x.r.Header.Values(idempotencyHeader)
	if len(values) == 0 {
		return "", nil
	}
	_, err := idempotency.Parse(values[0])
	if err == nil && len(values) > 1 {
		err = result.New(result.BadIdempotencyKey, result.NotRun, "there is more than one idempotency key")
	}
	return values[0], err
}

// mayBeBooking reports whether a request could be one that ran before under its
// idempotency key. Which route it takes is not known yet.
func mayBeBooking(r *http.Request) bool {
	if r.Method == http.MethodGet || r.Method == http.MethodHead || slices.Contains(dispatch.CompletionPaths, r.URL.Path) {
		return false
	}
	_, err := idempotency.Parse(r.Header.Get(idempotencyHeader))
	return err == nil
}

// models answers with the models that the caller's team may use.
func (s *Server) models(c echo.Context) error {
	x := s.begin(c)
	e, err := s.edition()
	if err != nil {
		x.fail(err)
		return nil
	}
	team, _, err := auth.Identify(e, auth.BearerKey(x.r.Header))
	if err != nil {
		x.fail(err)
		return nil
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := []model{}
	for _, m := range auth.Models(e, team) {
		list = append(list, model{m.Name, "model", "wigeonhill"})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	x.writeJSON(map[string]any{"object": "list", "data": list})
	return nil
}

// directory answers which instances to use. It needs no key, as routes open to
// all need none, and is answered while the instance drains.
func (s *Server) directory(c echo.Context) error {
	x := s.begin(c)
	region := c.QueryParam("region")
	if region == "" {
		region = s.Instance.Region
	}
	// Callers behind one address must not all get the same first instance, so
	// the port counts too unless the caller names itself.
	caller := c.QueryParam("caller")
	if caller == "" {
		caller = c.Request().RemoteAddr
	}
	x.w.Header().Set("Cache-Control", "no-store")
	x.writeJSON(s.Directory.Answer(caller, region))
	return nil
}
