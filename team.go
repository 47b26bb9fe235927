package eelgrassbeam

import (
	"slices"
)

// Credential is a secret that callers send to prove that they belong to a team. It isn't printed.
type Credential string

// String hides the credential from logs and errors. It implements fmt.Stringer.
func (Credential) String() string { return "(credential)" }

// GoString hides the credential from logs and errors. It implements fmt.GoStringer.
func (Credential) GoString() string { return "(credential)" }

// Team is a team of callers as configured on the platform.
type Team struct {
	ID TeamID
	// Credentials are those that the team's callers send, in the order of the configuration.
	Credentials []Credential
	// Priority replaces the priority of the routes for the team's requests if HasPriority is set.
	Priority    int
	HasPriority bool
	// Quota bounds the team's requests to all entries together.
	Quota Quota
	// Regions are the regions that may serve the team's requests, in addition to what their route allows; empty for all.
	Regions []RegionID
}

// Quota is a limit of requests: a rate and a burst above it. A rate of zero means no limit.
type Quota struct {
	PerSecond float64
	Burst     float64
}

// IsLimited reports whether there is a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Allows reports whether the region may serve the team's requests. A nil team has no restriction.
func (t *Team) Allows(region RegionID) bool {
	return t == nil || len(t.Regions) == 0 || slices.Contains(t.Regions, region)
}

// PriorityOn returns the priority of the team's requests on the route, 0 being the most urgent. A nil team has that of the
// route.
func (t *Team) PriorityOn(route *PathRoute) int {
	if t == nil || !t.HasPriority {
		return route.Priority
	}
	return t.Priority
}
