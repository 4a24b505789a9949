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
	// directoryTTL is the TTL of a directory response. Some callers use a
	// response for three times its TTL, and a stopping instance serves them
	// until then.
	directoryTTL = time.Second
	// maxAddresses bounds the addresses in a directory response; callers read
	// no more than these.
	maxAddresses = 64
	// readHeaderTimeout applies to the directory, readiness and metrics
	// servers.
	readHeaderTimeout = 5 * time.Second
)

// newGETServer returns a server with a single GET route.
func newGETServer(path string, handler echo.HandlerFunc) *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(path, handler)
	return newSmallServer(e)
}

func (i *Instance) readyServer() *http.Server {
	return newGETServer(platform.ReadyPath, func(c echo.Context) error {
		if !i.gateway.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
}

func (i *Instance) directoryServer() *http.Server {
	return newGETServer(platform.DirectoryPath, func(c echo.Context) error {
		location := platform.ParseCallerLocation(c.QueryParams())
		addresses := addressesFor(location, i.readyInstances(), allowedRegionsOf(i.catalog.Current().Config, platform.ParseDirectoryHost(c.QueryParams())))
		if len(addresses) == 0 {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		ttl := directoryTTL
		if maxTTL := i.settings.Bounds.MaxDirectoryTTL; maxTTL > 0 {
			ttl = min(ttl, maxTTL)
		}
		return c.JSON(http.StatusOK, platform.NewDirectoryResponse(addresses, ttl))
	})
}

// readyInstance is an instance that the directory may name to callers.
type readyInstance struct{ address, region, domain string }

// readyInstances returns the instances that accept requests from callers,
// including this one.
func (i *Instance) readyInstances() []readyInstance {
	var out []readyInstance
	if i.gateway.Ready() {
		out = append(out, readyInstance{i.settings.Listen.Callers, i.settings.Region, i.settings.Domain})
	}
	for _, m := range i.heartbeats.Members() {
		if acceptsCallers(&m) {
			out = append(out, readyInstance{m.Heartbeat.GetCallersAddress(), m.Region(), m.Heartbeat.GetInstance().GetDomain()})
		}
	}
	return out
}

func acceptsCallers(m *heartbeat.Member) bool {
	return m.Reachable && m.Heartbeat.GetReady() && !m.Heartbeat.GetLeaving() && m.Heartbeat.GetCallersAddress() != ""
}

// allowedRegionsOf returns the regions that the largest number of the host's
// routes allow. Routes without a list of allowed regions do not count; if the
// host has no other routes, the result is empty.
func allowedRegionsOf(c *deployment.Config, host string) map[string]bool {
	if c == nil {
		return nil
	}
	routeCounts, maxCount := map[string]int{}, 0
	for _, r := range c.Routes {
		if r.Host != host {
			continue
		}
		for _, allowed := range r.AllowedRegions {
			routeCounts[allowed]++
			maxCount = max(maxCount, routeCounts[allowed])
		}
	}
	regions := map[string]bool{}
	for region, n := range routeCounts {
		if n == maxCount {
			regions[region] = true
		}
	}
	return regions
}

// addressesFor returns the addresses of the instances in the caller's failure
// domain, or else in its region, or else in allowedRegions, or else of all
// instances. Callers stay in their region if it has an instance, because a
// request that is restricted to a region must not enter through a third one.
func addressesFor(location platform.CallerLocation, instances []readyInstance, allowedRegions map[string]bool) []string {
	for _, matches := range []func(readyInstance) bool{
		func(e readyInstance) bool { return e.domain == location.Domain },
		func(e readyInstance) bool { return e.region == location.Region },
		func(e readyInstance) bool { return allowedRegions[e.region] },
		func(readyInstance) bool { return true },
	} {
		var out []string
		for _, e := range instances {
			if matches(e) && len(out) < maxAddresses {
				out = append(out, e.address)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}
