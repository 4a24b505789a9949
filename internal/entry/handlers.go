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

func (s *Server) currentConfig() (*config.Config, error) {
	if cfg := s.ConfigSource.Current(); cfg != nil {
		return cfg, nil
	}
	return nil, result.New(result.NotReady, result.NotRun, "the instance has no edition yet")
}

// prepareCompletion prepares a completion request to an engine. The API key is
// checked before the body is read.
func (x *exchange) prepareCompletion() error {
	cfg, err := x.s.currentConfig()
	if err != nil {
		return err
	}
	apiKey := auth.BearerKey(x.r.Header)
	team, _, err := auth.Authenticate(cfg, apiKey)
	if err != nil {
		return err
	}
	body, err := x.readBody(team.Name)
	if err != nil {
		return err
	}
	if err := auth.CheckNoKey("", body, apiKey); err != nil {
		return err
	}
	p, err := dispatch.ParseCompletion(body)
	if err != nil {
		return err
	}
	permit, err := auth.AuthorizeModel(cfg, apiKey, p.Model)
	if err != nil {
		return err
	}
	x.call = &dispatch.Call{ID: x.id, Permit: permit, Method: x.r.Method, Path: x.r.URL.Path, Arrived: x.start}
	return x.call.SetCompletion(p, cfg.Models[p.Model].MaxOutput)
}

// preparePlain prepares a request to a plain service.
func (x *exchange) preparePlain() error {
	idemKey, idemErr := x.idempotencyKey()
	cfg, err := x.s.currentConfig()
	if err != nil {
		return err
	}
	apiKey := auth.BearerKey(x.r.Header)
	path := x.r.URL.EscapedPath()
	permit, err := auth.AuthorizeRoute(cfg, apiKey, x.r.Method, path)
	if err != nil {
		return err
	}
	if permit.Idempotent {
		idemKey, x.hasIdempotencyKey = "", false
	} else if idemErr != nil {
		return idemErr
	}
	body, err := x.readBody(permit.Team)
	if err != nil {
		return err
	}
	if err := auth.CheckNoKey(path, body, apiKey); err != nil {
		return err
	}
	x.call = &dispatch.Call{ID: x.id, Permit: permit, Method: x.r.Method, Path: path, Body: body, Arrived: x.start,
		RawQuery: auth.StripKeyFromQuery(x.r.URL.RawQuery, apiKey), Header: auth.EndToEndHeaders(x.r.Header, apiKey), IdempotencyKey: idemKey}
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

// mayHaveRunBefore reports whether an earlier attempt of the request could have
// run under its idempotency key. The route, and so whether the request is
// idempotent anyway, is not known yet.
func mayHaveRunBefore(r *http.Request) bool {
	if r.Method == http.MethodGet || r.Method == http.MethodHead || slices.Contains(dispatch.CompletionPaths, r.URL.Path) {
		return false
	}
	_, err := idempotency.Parse(r.Header.Get(idempotencyHeader))
	return err == nil
}

// models lists the models that the caller's team may use.
func (s *Server) models(c echo.Context) error {
	x := s.newExchange(c)
	cfg, err := s.currentConfig()
	if err != nil {
		x.writeError(err)
		return nil
	}
	team, _, err := auth.Authenticate(cfg, auth.BearerKey(x.r.Header))
	if err != nil {
		x.writeError(err)
		return nil
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := []model{}
	for _, m := range auth.AllowedModels(cfg, team) {
		list = append(list, model{m.Name, "model", "wigeonhill"})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	x.writeJSON(map[string]any{"object": "list", "data": list})
	return nil
}

// directory lists the instances that a caller should use. Like routes open to
// all it needs no API key, and it is served while the instance drains.
func (s *Server) directory(c echo.Context) error {
	x := s.newExchange(c)
	region := c.QueryParam("region")
	if region == "" {
		region = s.Instance.Region
	}
	// Callers behind one IP address must not all get the same first instance, so
	// a caller that sends no identifier is identified by address and port.
	caller := c.QueryParam("caller")
	if caller == "" {
		caller = c.Request().RemoteAddr
	}
	x.w.Header().Set("Cache-Control", "no-store")
	x.writeJSON(s.Directory.InstancesFor(caller, region))
	return nil
}
