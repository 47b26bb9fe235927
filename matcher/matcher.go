// Package matcher matches requests to routes and selects the service of a split route.
package matcher

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Matcher matches requests against one version of the routing. It is safe for concurrent use.
type Matcher struct {
	routesByHost map[string][]prefixRoute // longest prefix first

	mu sync.Mutex
	// currentWeights holds the round-robin state of each split route: the current weight of each share. The share with
	// the highest weight takes the next request.
	currentWeights map[*eelgrassbeam.PathRoute][]float64
}

// prefixRoute is a route with its prefix in the form of eelgrassbeam.NormalizePath.
type prefixRoute struct {
	prefix string
	route  *eelgrassbeam.PathRoute
}

// New returns a Matcher for the routing, which must not change afterwards.
func New(routing *eelgrassbeam.Routing) *Matcher {
	m := &Matcher{
		routesByHost:   make(map[string][]prefixRoute),
		currentWeights: make(map[*eelgrassbeam.PathRoute][]float64),
	}
	for i := range routing.Routes {
		route := &routing.Routes[i]
		normalized := prefixRoute{prefix: eelgrassbeam.NormalizePath(route.PathPrefix), route: route}
		m.routesByHost[route.Host] = append(m.routesByHost[route.Host], normalized)
	}
	for _, routes := range m.routesByHost {
		slices.SortStableFunc(routes, func(a, b prefixRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return m
}

// Route returns the host's route with the longest prefix of the escaped path, or false if none matches. Path and prefix
// may be escaped in different ways. The host may be in upper case; the hosts of routes are in lower case.
func (m *Matcher) Route(host, escapedPath string) (*eelgrassbeam.PathRoute, bool) {
	route := m.find(host, eelgrassbeam.NormalizePath(escapedPath))
	return route, route != nil
}

// IsAmbiguous reports whether the path has dot segments that lead to another route than its prefix does.
func (m *Matcher) IsAmbiguous(host, escapedPath string) bool {
	return eelgrassbeam.IsAmbiguousPath(escapedPath, func(path string) *eelgrassbeam.PathRoute { return m.find(host, path) })
}

// find returns the route with the longest prefix of a normalized path, nil for none.
func (m *Matcher) find(host, path string) *eelgrassbeam.PathRoute {
	for _, candidate := range m.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, candidate.prefix) {
			return candidate.route
		}
	}
	return nil
}

// Service returns the service of the route's next request. It selects among the shares of a split route by smooth
// weighted round-robin, so that each entry keeps the proportions without coordination with others.
func (m *Matcher) Service(route *eelgrassbeam.PathRoute) eelgrassbeam.ServiceName {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	currentWeights := m.currentWeights[route]
	if currentWeights == nil {
		currentWeights = make([]float64, len(route.Shares))
		m.currentWeights[route] = currentWeights
	}
	best, total := 0, 0.0
	for i, share := range route.Shares {
		currentWeights[i] += share.Weight
		total += share.Weight
		if currentWeights[i] > currentWeights[best] {
			best = i
		}
	}
	currentWeights[best] -= total
	return route.Shares[best].Service
}
