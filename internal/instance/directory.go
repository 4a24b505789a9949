package instance

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// directoryTTL is the lifetime of a directory answer. Some clients keep one
	// three times as long, and a stopping instance serves them until then.
	directoryTTL = time.Second
	// maxAddresses is the number of addresses that clients read.
	maxAddresses = 64
	// smallTimeout bounds calls to the directory and the readiness check.
	smallTimeout = 5 * time.Second
)

func smallServer(path string, h echo.HandlerFunc) *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(path, h)
	return &http.Server{Handler: e, ReadHeaderTimeout: smallTimeout, IdleTimeout: 10 * smallTimeout}
}

func (i *Instance) readyServer() *http.Server {
	return smallServer(platform.ReadyPath, func(c echo.Context) error {
		if !i.gateway.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
}

func (i *Instance) directoryServer() *http.Server {
	return smallServer(platform.DirectoryPath, func(c echo.Context) error {
		at := platform.ParseCallerLocation(c.QueryParams())
		addresses := where(at, i.entries(), homesOf(i.catalog.Current().Config, platform.ParseDirectoryHost(c.QueryParams())))
		if len(addresses) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		ttl := directoryTTL
		if most := i.settings.Bounds.MaxDirectoryTTL; most > 0 {
			ttl = min(ttl, most)
		}
		return c.JSON(http.StatusOK, platform.NewDirectoryResponse(addresses, ttl))
	})
}

// entry is an instance that callers may use.
type entry struct{ address, region, domain string }

// entries returns the instances that are ready, this one included.
func (i *Instance) entries() []entry {
	var out []entry
	if i.gateway.Ready() {
		out = append(out, entry{i.settings.Listen.Callers, i.settings.Region, i.settings.Domain})
	}
	for _, m := range i.roster.Members() {
		if usable(&m) {
			out = append(out, entry{m.Row.GetCallersAddress(), m.Region(), m.Row.GetInstance().GetDomain()})
		}
	}
	return out
}

func usable(m *heartbeat.Member) bool {
	return m.Reachable && m.Row.GetReady() && !m.Row.GetLeaving() && m.Row.GetCallersAddress() != ""
}

// homesOf returns the regions in which the most routes of the host that name
// homes may run; nil if no route names any.
func homesOf(c *deployment.Config, host string) map[string]bool {
	if c == nil {
		return nil
	}
	permits, most := map[string]int{}, 0
	for _, r := range c.Routes {
		if r.Host != host {
			continue
		}
		for _, h := range r.AllowedRegions {
			permits[h]++
			most = max(most, permits[h])
		}
	}
	homes := map[string]bool{}
	for region, n := range permits {
		if n == most {
			homes[region] = true
		}
	}
	return homes
}

// where returns the addresses for a caller: those of its failure domain, or else
// of its region, or else of homes, or else all others. Callers of a region are
// kept there, as a request that is bound to a region must not enter at a third
// one.
func where(at platform.CallerLocation, entries []entry, homes map[string]bool) []string {
	for _, near := range []func(entry) bool{
		func(e entry) bool { return e.domain == at.Domain },
		func(e entry) bool { return e.region == at.Region },
		func(e entry) bool { return homes[e.region] },
		func(entry) bool { return true },
	} {
		var out []string
		for _, e := range entries {
			if near(e) && len(out) < maxAddresses {
				out = append(out, e.address)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}
