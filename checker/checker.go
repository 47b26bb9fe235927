// Package checker checks a routing before it is put in force: what of it can't be used, can never match or contradicts itself,
// and what it changes.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Severity tells how bad a finding is.
type Severity string

// Severities. An error makes requests fail that the operator wants served; a warning may be intended.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is a fault of a configuration with its place.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the kind and name of the resource, and the field.
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

// Options hold what is known besides the configuration.
type Options struct {
	// Regions are those that exist; empty if not known.
	Regions []eelgrassbeam.RegionID
}

// Check returns the findings of the routing, errors first.
func Check(routing *eelgrassbeam.Routing, options Options) []Finding {
	c := check{routing: routing, options: options}
	for _, fault := range routing.Faults {
		c.add(SeverityError, fault.Place(), "%s", fault.Problem)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return c.findings
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == SeverityError })
}

// check collects the findings of a routing.
type check struct {
	routing  *eelgrassbeam.Routing
	options  Options
	findings []Finding
}

func (c *check) add(severity Severity, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Place: place, Problem: fmt.Sprintf(format, args...)})
}

func (c *check) checkRoutes() {
	first := make(map[string]string) // names of routes by host and prefix
	for i := range c.routing.Routes {
		route := &c.routing.Routes[i]
		place := "route " + route.Name
		key := route.Host + eelgrassbeam.NormalizePath(route.PathPrefix)
		if earlier, isTaken := first[key]; isTaken {
			c.add(SeverityError, place, "never matches: route %s has the same host and prefix", earlier)
		} else {
			first[key] = route.Name
		}
		c.checkMatch(place, route)
		c.checkTimes(place, route)
		c.checkShares(place, route)
		c.checkRegions(place, route.Regions)
	}
}

// checkMatch finds hosts and prefixes that no request has.
func (c *check) checkMatch(place string, route *eelgrassbeam.PathRoute) {
	normalized := eelgrassbeam.NormalizePath(route.PathPrefix)
	switch {
	case route.Host == "":
		c.add(SeverityError, place, "never matches: it has no host")
	case strings.Contains(route.Host, ":") && !strings.HasPrefix(route.Host, "["):
		c.add(SeverityError, place, "never matches: hosts are compared without their port, %q has one", route.Host)
	case strings.ContainsAny(route.PathPrefix, "?# "):
		c.add(SeverityError, place, "never matches: no path holds a character of the prefix %q", route.PathPrefix)
	case eelgrassbeam.ResolveDotSegments(normalized) != normalized:
		c.add(SeverityError, place, "never serves: requests with the dot segments of the prefix %q are rejected", route.PathPrefix)
	case !strings.HasSuffix(route.PathPrefix, "/"):
		c.add(SeverityWarning, place, "prefix %q doesn't end with a slash: it also matches longer names", route.PathPrefix)
	}
}

func (c *check) checkTimes(place string, route *eelgrassbeam.PathRoute) {
	switch {
	case route.Timeout > 0 && route.TargetLatency > route.Timeout:
		c.add(SeverityError, place, "the timeout of %s is below the target latency of %s", route.Timeout, route.TargetLatency)
	case route.Timeout == 0:
		c.add(SeverityWarning, place, "no timeout: requests wait as long as their callers do, 30 s at most")
	}
}

func (c *check) checkShares(place string, route *eelgrassbeam.PathRoute) {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
		if _, ok := c.routing.Services[share.Service]; !ok {
			c.add(SeverityError, place, "service %s doesn't exist", share.Service)
		}
	}
	if len(route.Shares) > 0 && total == 0 {
		c.add(SeverityError, place, "the weights of its services add up to nothing")
	}
}

func (c *check) checkRegions(place string, regions []eelgrassbeam.RegionID) {
	if len(c.options.Regions) == 0 {
		return
	}
	for _, region := range regions {
		if !slices.Contains(c.options.Regions, region) {
			c.add(SeverityError, place, "region %q doesn't exist", region)
		}
	}
}

func (c *check) checkServices() {
	used := make(map[eelgrassbeam.ServiceName]bool)
	for _, route := range c.routing.Routes {
		for _, share := range route.Shares {
			used[share.Service] = true
		}
	}
	for _, name := range sortedKeys(c.routing.Services) {
		settings, place := c.routing.Services[name], "service "+string(name)
		if !used[name] {
			c.add(SeverityWarning, place, "no route leads to it")
		}
		if settings.ColdStart > 0 && settings.ColdPerSecond == 0 {
			c.add(SeverityError, place, "its upstreams are cold for %s and may get no request meanwhile", settings.ColdStart)
		}
	}
}

func (c *check) checkTeams() {
	holders := make(map[eelgrassbeam.Credential]eelgrassbeam.TeamID)
	for i := range c.routing.Teams {
		team := &c.routing.Teams[i]
		place := "team " + string(team.ID)
		if len(team.Credentials) == 0 {
			c.add(SeverityWarning, place, "no credential: no request can be the team's")
		}
		for at, credential := range team.Credentials {
			holder, isHeld := holders[credential]
			switch {
			case credential == "":
				c.add(SeverityError, place, "credential %d is empty: it is not used", at+1)
			case isHeld && holder != team.ID:
				c.add(SeverityError, place, "credential %d is also held by team %s: it is refused", at+1, holder)
			}
			holders[credential] = team.ID
		}
		c.checkQuota(place, team.Quota)
		c.checkRegions(place, team.Regions)
		c.checkCommonRegions(place, team)
	}
}

func (c *check) checkQuota(place string, quota eelgrassbeam.Quota) {
	switch {
	case quota.PerSecond == 0 && quota.Burst > 0:
		c.add(SeverityError, place, "a burst of %v without a rate: there is no limit", quota.Burst)
	case quota.PerSecond > 0 && quota.Burst < 1:
		c.add(SeverityWarning, place, "a burst of %v: requests that don't come evenly are refused below the rate of %v a second", quota.Burst, quota.PerSecond)
	}
}

// checkCommonRegions finds routes that share no region with the team.
func (c *check) checkCommonRegions(place string, team *eelgrassbeam.Team) {
	if len(team.Regions) == 0 {
		return
	}
	for i := range c.routing.Routes {
		route := &c.routing.Routes[i]
		if !slices.ContainsFunc(team.Regions, route.Allows) {
			c.add(SeverityWarning, place, "its requests on route %s can run in no region", route.Name)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
