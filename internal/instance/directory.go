package instance

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonhill/wigeonhill/internal/balance"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
	"github.com/wigeonhill/wigeonhill/platform"
)

const (
	// directoryTTL is the TTL of a directory response. Some callers use a
	// response for three times its TTL, and a stopping instance serves them
	// until then.
	directoryTTL = time.Second
	// directorySettlePeriod is the time after the start during which this instance may
	// not have heard of all regions. Callers of a region without a known instance are
	// then not sent to another one, which they would use until the TTL ends, but ask
	// the next instance.
	directorySettlePeriod = 2500 * time.Millisecond
	// maxAddresses bounds the addresses in a directory response; callers read
	// no more than these.
	maxAddresses = 64
	// silentHealth is the health of an instance whose last heartbeats are missing, and
	// for silentRest after: it may be frozen, or overloaded by its callers.
	silentHealth = 0.25
	silentRest   = 5 * time.Second
	// keepPlace is the time for which an unreachable instance keeps its place in the
	// order of instances. While it has one, the responses without it do not change; it
	// covers a restart.
	keepPlace = 30 * time.Second
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
		callerIP, _, _ := net.SplitHostPort(c.Request().RemoteAddr) // an address of the listener is valid
		now := time.Now()
		entries := i.directoryEntries(now)
		if now.Sub(i.started) < directorySettlePeriod && !slices.ContainsFunc(entries, func(e directoryEntry) bool { return e.region == location.Region }) {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		addresses := addressesFor(location, callerIP, entries, allowedRegionsOf(i.catalog.Current().Config, platform.ParseDirectoryHost(c.QueryParams())))
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

// directoryEntry is an instance that the directory may name to callers.
type directoryEntry struct {
	balance.Instance
	region, domain string
}

// directoryEntries returns the instances that accept requests from callers, including
// this one, and with a health of 0 those that did until shortly before now.
func (i *Instance) directoryEntries(now time.Time) []directoryEntry {
	i.directoryCache.mu.Lock()
	defer i.directoryCache.mu.Unlock()
	c := &i.directoryCache.mu
	if c.entries == nil || now.Sub(c.at) >= heartbeatReadInterval {
		c.entries, c.at = make([]directoryEntry, 1, len(c.entries)+1), now
		address := i.settings.Listen.Callers
		c.entries[0] = directoryEntry{balance.Instance{Address: address}, i.settings.Region, i.settings.Domain}
		for _, m := range i.heartbeats.Members() {
			// A heartbeat with this address is that of an instance which had it before.
			if m.Heartbeat.GetCallersAddress() != address {
				c.entries = i.directoryCache.appendMember(c.entries, &m, now)
			}
		}
		balance.Sort(c.entries, func(e *directoryEntry) string { return e.Address })
		c.own = slices.IndexFunc(c.entries, func(e directoryEntry) bool { return e.Address == address })
	}
	entries, load := slices.Clone(c.entries), i.meter.Load()
	own := &entries[c.own]
	own.Capacity = balance.Capacity(load)
	if i.gateway.Ready() {
		own.Health = balance.Health(load)
	}
	return entries
}

// directoryCache holds what the heartbeats say of the instances that may be named, as
// each caller asks for them every second.
type directoryCache struct {
	mu struct {
		sync.Mutex
		at time.Time
		// entries are in the order of balance.Sort. The one of this instance, at own,
		// has no load.
		entries []directoryEntry
		own     int
		// silentUntil is until when instances count as silent, by peer address.
		silentUntil map[string]time.Time
	}
}

// appendMember appends the entry of a member, if it has one. The caller holds c.mu.
func (c *directoryCache) appendMember(entries []directoryEntry, m *heartbeat.Member, now time.Time) []directoryEntry {
	hb := m.Heartbeat
	e := directoryEntry{balance.Instance{Address: hb.GetCallersAddress(), Capacity: balance.Capacity(hb.GetLoad())}, m.Region(), hb.GetInstance().GetDomain()}
	if c.mu.silentUntil == nil {
		c.mu.silentUntil = map[string]time.Time{}
	}
	silent := m.Silent(now)
	switch until, known := c.mu.silentUntil[m.Address()]; {
	case silent:
		c.mu.silentUntil[m.Address()] = now.Add(silentRest)
	case known && now.Before(until):
		silent = true
	case known:
		delete(c.mu.silentUntil, m.Address())
	}
	switch {
	case acceptsCallers(m):
		e.Health = balance.Health(hb.GetLoad())
		if silent && e.Capacity > 0 {
			e.Health = min(e.Health, silentHealth)
		}
	case hb.GetCallersAddress() == "" || now.Sub(m.LastSeen) > keepPlace && !m.Reachable:
		return entries
	}
	return append(entries, e)
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

// addressesFor returns the addresses for a caller, identified by its IP address, of the
// instances in its failure domain, or else in its region, or else in allowedRegions, or
// else of all instances. Callers stay in their region if it has an instance, because a
// request that is restricted to a region must not enter through a third one.
func addressesFor(location platform.CallerLocation, callerIP string, entries []directoryEntry, allowedRegions map[string]bool) []string {
	for _, matches := range []func(*directoryEntry) bool{
		func(e *directoryEntry) bool { return e.domain == location.Domain },
		func(e *directoryEntry) bool { return e.region == location.Region },
		func(e *directoryEntry) bool { return allowedRegions[e.region] },
		func(*directoryEntry) bool { return true },
	} {
		var matching []balance.Instance
		for i := range entries {
			if e := &entries[i]; matches(e) {
				matching = append(matching, e.Instance)
			}
		}
		if out := balance.Subset(matching, callerIP, maxAddresses); len(out) > 0 {
			return out
		}
	}
	return nil
}
