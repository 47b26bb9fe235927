package eelgrassbeam

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	maxSlots     = 10_000
	maxRate      = 1e9
	maxBodyBytes = 64 << 20
)

// Defaults are the fleet-wide settings.
type Defaults struct {
	// LookupTTL is how long a caller may cache a lookup answer.
	LookupTTL Duration `json:"lookup_ttl"`
	// LookupEntries is the number of entries in a lookup answer.
	LookupEntries int `json:"lookup_entries"`
	// BodyLimitBytes is the maximum size of a request or response body.
	BodyLimitBytes int64 `json:"body_limit_bytes"`
	// ProgressTimeout is how long an exchange may make no progress before it is aborted.
	ProgressTimeout Duration `json:"progress_timeout"`
	// IdempotencyWindow is how long an idempotency key is remembered.
	IdempotencyWindow Duration `json:"idempotency_window"`
	// ShiftCapPerSecond limits the new requests shifted into each region, in requests per second.
	ShiftCapPerSecond float64 `json:"shift_cap_per_second"`
	// RegionHeadroom is the fraction of a region's slots that is never given to shifted requests, 0 to 1.
	RegionHeadroom float64 `json:"region_headroom"`
	// LinkMegabitsPerSecond limits the shifted traffic into a region, in Mbit/s.
	LinkMegabitsPerSecond float64 `json:"link_mbit_per_second"`
	// SlowStart is how long a new or cold upstream takes to reach its full number of slots.
	SlowStart Duration `json:"slow_start"`
	// Services are the shared services with their routes.
	Services []Service `json:"services"`
	// TeamWeights scale the teams' shares within a rank; a missing team has weight 1.
	TeamWeights map[TeamID]float64 `json:"team_weights,omitempty"`
}

// Service is a shared service that requests are routed to.
type Service struct {
	Name  ServiceName `json:"name"`
	Hosts []string    `json:"hosts"`
	// Routes are evaluated in order; the first match applies.
	Routes []Route `json:"routes"`
	// SlotsPerUpstream limits the requests in progress at one upstream.
	SlotsPerUpstream int `json:"slots_per_upstream"`
	// ConnectionsPerUpstream limits the open connections to one upstream.
	ConnectionsPerUpstream int `json:"connections_per_upstream"`
	// Ranks holds at most one policy per rank.
	Ranks []RankPolicy `json:"ranks"`
	// RetryShare is the retry budget as a fraction of first attempts, 0 to 1.
	RetryShare float64 `json:"retry_share"`
	// ProbeInterval is the time between probes of one upstream; zero disables probing.
	ProbeInterval Duration `json:"probe_interval"`
}

// Route sets the rank and idempotence of the requests that match it.
type Route struct {
	// Method is an HTTP method, or "*" for any.
	Method string `json:"method"`
	// PathPrefix may be escaped; paths are compared as by NormalizePath.
	PathPrefix string `json:"path_prefix"`
	Rank       Rank   `json:"rank"`
	Idempotent bool   `json:"idempotent"`
}

// RankPolicy holds a service's limits for one rank.
type RankPolicy struct {
	Rank Rank `json:"rank"`
	// Floor is the fraction of slots reserved for the rank while it has requests, 0 to 1.
	Floor float64 `json:"floor"`
	// Deadline applies to requests that carry none.
	Deadline Duration `json:"deadline"`
	// QueueLimit is the maximum number of requests queued at one site.
	QueueLimit int `json:"queue_limit"`
}

// Service returns the service with the given name, or false if there is none.
func (d Defaults) Service(name ServiceName) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// ServiceByHost returns the service with the given host name, or false if there is none.
func (d Defaults) ServiceByHost(host string) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return slices.Contains(s.Hosts, host) })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// Route returns the first route that matches the method and the escaped path, or false if none does.
func (s Service) Route(method, escapedPath string) (Route, bool) {
	i := s.routeIndex(method, NormalizePath(escapedPath))
	if i < 0 {
		return Route{}, false
	}
	return s.Routes[i], true
}

// IsAmbiguous reports whether the path has dot segments that lead to another route than its prefix does.
func (s Service) IsAmbiguous(method, escapedPath string) bool {
	return IsAmbiguousPath(escapedPath, func(path string) int { return s.routeIndex(method, path) })
}

func (s Service) routeIndex(method, path string) int {
	return slices.IndexFunc(s.Routes, func(r Route) bool {
		return (r.Method == "*" || r.Method == method) && strings.HasPrefix(path, NormalizePath(r.PathPrefix))
	})
}

// Policy returns the policy of the rank, or a default one if the service has none.
func (s Service) Policy(rank Rank) RankPolicy {
	for _, policy := range s.Ranks {
		if policy.Rank == rank {
			return policy
		}
	}
	return RankPolicy{Rank: rank, Deadline: Duration{defaultDeadline}, QueueLimit: defaultQueueLimit}
}

const (
	defaultDeadline   = 10 * time.Second
	defaultQueueLimit = 256
)

// Validate checks the ranges of all fields and the services, and that names and hosts are unique.
func (d Defaults) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("%w: defaults: "+format, append([]any{ErrInvalid}, args...)...))
		}
	}
	check(d.LookupTTL.Duration >= time.Second && d.LookupTTL.Duration <= time.Hour, "lookup_ttl %s: want 1s to 1h", d.LookupTTL)
	check(d.LookupEntries >= 1 && d.LookupEntries <= 16, "lookup_entries %d: want 1 to 16", d.LookupEntries)
	check(d.BodyLimitBytes >= 1 && d.BodyLimitBytes <= maxBodyBytes, "body_limit_bytes %d: want 1 to %d", d.BodyLimitBytes, maxBodyBytes)
	check(d.ProgressTimeout.Duration >= 100*time.Millisecond, "progress_timeout %s: want 100ms or more", d.ProgressTimeout)
	check(d.IdempotencyWindow.Duration >= time.Second, "idempotency_window %s: want 1s or more", d.IdempotencyWindow)
	check(d.ShiftCapPerSecond >= 0 && d.ShiftCapPerSecond <= maxRate, "shift_cap_per_second %g: want 0 to %g", d.ShiftCapPerSecond, maxRate)
	check(isFraction(d.RegionHeadroom), "region_headroom %g: want 0 to 1", d.RegionHeadroom)
	check(d.LinkMegabitsPerSecond >= 0 && d.LinkMegabitsPerSecond <= maxRate, "link_mbit_per_second %g: want 0 to %g", d.LinkMegabitsPerSecond, maxRate)
	check(len(d.Services) > 0, "services are empty: want one or more")
	for team, weight := range d.TeamWeights {
		check(weight > 0 && weight <= 100, "team_weights[%s] %g: want above 0 to 100", team, weight)
	}
	hosts := make(map[string]ServiceName)
	for i, service := range d.Services {
		errs = append(errs, service.Validate())
		check(slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == service.Name }) == i, "duplicate service %q", service.Name)
		for _, host := range service.Hosts {
			check(hosts[host] == "" || hosts[host] == service.Name, "host %q is assigned to both %q and %q", host, hosts[host], service.Name)
			hosts[host] = service.Name
		}
	}
	return errors.Join(errs...)
}

// Validate checks the ranges of all fields and that the floors sum to less than 1.
func (s Service) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("%w: service %q: "+format, append([]any{ErrInvalid, s.Name}, args...)...))
		}
	}
	check(s.Name != "", "name is empty")
	check(len(s.Hosts) > 0, "hosts are empty: want one or more")
	check(len(s.Routes) > 0, "routes are empty: want one or more")
	check(s.SlotsPerUpstream >= 1 && s.SlotsPerUpstream <= maxSlots, "slots_per_upstream %d: want 1 to %d", s.SlotsPerUpstream, maxSlots)
	check(s.ConnectionsPerUpstream >= 1, "connections_per_upstream %d: want 1 or more", s.ConnectionsPerUpstream)
	check(s.ConnectionsPerUpstream >= s.SlotsPerUpstream, "connections_per_upstream %d: want at least slots_per_upstream", s.ConnectionsPerUpstream)
	check(isFraction(s.RetryShare), "retry_share %g: want 0 to 1", s.RetryShare)
	floorSum := 0.0
	for i, policy := range s.Ranks {
		check(policy.Rank != "", "policy %d: rank is empty", i)
		check(isFraction(policy.Floor), "floor %g of rank %s: want 0 to 1", policy.Floor, policy.Rank)
		check(policy.Deadline.Duration >= time.Millisecond, "deadline %s of rank %s: want 1ms or more", policy.Deadline, policy.Rank)
		check(policy.QueueLimit >= 1, "queue_limit %d of rank %s: want 1 or more", policy.QueueLimit, policy.Rank)
		check(slices.IndexFunc(s.Ranks, func(p RankPolicy) bool { return p.Rank == policy.Rank }) == i, "duplicate rank %s", policy.Rank)
		floorSum += policy.Floor
	}
	check(floorSum < 1, "floors sum to %g: want below 1", floorSum)
	for i, route := range s.Routes {
		check(route.Method != "", "route %d: method is empty", i)
		check(strings.HasPrefix(route.PathPrefix, "/"), "route %d: path_prefix %q: want it to begin with /", i, route.PathPrefix)
		check(route.Rank != "", "route %d: rank is empty", i)
	}
	return errors.Join(errs...)
}

func isFraction(v float64) bool { return v >= 0 && v <= 1 }
