package eelgrassbeam

import (
	"cmp"
	"slices"
	"time"
)

// PathRoute routes the requests for one host and path prefix to services. It is read from the platform's routing
// objects, whereas Route is the rule of a Service in the configuration.
type PathRoute struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash. It may be escaped; paths are compared as by NormalizePath.
	PathPrefix string
	Idempotent bool
	// Timeout is the time limit for the final response; zero for none.
	Timeout time.Duration
	// TargetLatency is the latency objective. A later response is worth less to the caller, so requests are sent early
	// enough to meet it if possible.
	TargetLatency time.Duration
	// Priority is the priority of the route, 0 being the most urgent.
	Priority int
	// Shares are the services that requests are split between, in proportion to their weights.
	Shares []ServiceShare
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Sticky enables affinity: requests prefer an upstream that has recently served their affinity key, since it
	// answers them faster.
	Sticky bool
	// Regions are the regions that may serve the requests; empty for all.
	Regions []RegionID
	// IsPublic reports whether requests need no credential of a team.
	IsPublic bool
}

// Allows reports whether the region may serve the route's requests.
func (r *PathRoute) Allows(region RegionID) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// ServiceShare is a service's weight in a route's traffic split.
type ServiceShare struct {
	Service ServiceName
	Weight  float64
}

// ServiceSettings are the settings that apply to all upstreams of a service.
type ServiceSettings struct {
	HealthPath string
	// MaxConnections limits the open connections to one upstream from all entries together; zero for no limit.
	MaxConnections int
	// ColdStart is how long an upstream is cold after it starts.
	ColdStart time.Duration
	// ColdPerSecond is the rate of requests that a cold upstream can handle, from all entries together.
	ColdPerSecond float64
}

// CallerLimits holds the size limits and timeouts for requests from callers.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one immutable, accepted version of all routes.
type Routing struct {
	Version  uint64
	Routes   []PathRoute
	Services map[ServiceName]ServiceSettings
	Limits   CallerLimits
	// Teams are the teams of callers. If there are none, no request needs a credential.
	Teams []Team
	// Faults are the parts of the stored form that can't be used as they are. The rest is in force.
	Faults []RoutingFault
}

// RoutingFault is a part of a configuration that can't be used as it is.
type RoutingFault struct {
	// Resource is the kind of resource, Name its name; both may be empty.
	Resource string `json:"resource,omitempty"`
	Name     string `json:"name,omitempty"`
	// Field is the field at fault; empty if it is the resource as a whole.
	Field string `json:"field,omitempty"`
	// Problem says what is wrong and what applies instead.
	Problem string `json:"problem"`
}

// String returns the fault in one line.
func (f RoutingFault) String() string { return f.Place() + ": " + f.Problem }

// Place returns the resource and the field at fault.
func (f RoutingFault) Place() string {
	place := f.Resource
	if f.Name != "" {
		place += " " + f.Name
	}
	if f.Field != "" {
		place += ", " + f.Field
	}
	return place
}

// View is an immutable snapshot of this system's data on the platform, with the store revision of each part.
type View struct {
	Routing         *Routing
	RoutingRevision Revision
	// Upstreams are sorted by ID.
	Upstreams         []Upstream
	UpstreamsRevision Revision
	// Evacuated lists the availability zones whose upstreams get no new requests, sorted.
	Evacuated         []ZoneID
	EvacuatedRevision Revision
}

// IsReady reports whether the routing and the upstreams have been read.
func (v *View) IsReady() bool { return v.Routing != nil && v.UpstreamsRevision > 0 }

// IsEvacuated reports whether the zone is evacuated.
func (v *View) IsEvacuated(zone ZoneID) bool {
	_, found := slices.BinarySearch(v.Evacuated, zone)
	return found
}

// WithRouting returns a copy with the given routing.
func (v View) WithRouting(routing *Routing, revision Revision) *View {
	v.Routing, v.RoutingRevision = routing, revision
	return &v
}

// WithUpstreams returns a copy with the given upstreams, which it sorts in place.
func (v View) WithUpstreams(upstreams []Upstream, revision Revision) *View {
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	v.Upstreams, v.UpstreamsRevision = upstreams, revision
	return &v
}

// WithEvacuated returns a copy with the given evacuated zones, which it sorts in place.
func (v View) WithEvacuated(zones []ZoneID, revision Revision) *View {
	slices.Sort(zones)
	v.Evacuated, v.EvacuatedRevision = zones, revision
	return &v
}

// ViewSource provides the current view, which is never nil.
type ViewSource interface {
	View() *View
}
