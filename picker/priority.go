package picker

import (
	"math"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// updatePriorities sets the most urgent priority of each service's requests. The caller must hold p.mu.
func (p *Picker) updatePriorities(routing *eelgrassbeam.Routing) {
	mostUrgent := make(map[eelgrassbeam.ServiceName]int)
	teamPriority, usesRoutes := teamPriorities(routing.Teams)
	for i := range routing.Routes {
		route := &routing.Routes[i]
		priority := teamPriority
		if usesRoutes || route.IsPublic {
			priority = min(priority, route.Priority)
		}
		for _, share := range route.Shares {
			if known, ok := mostUrgent[share.Service]; !ok || priority < known {
				mostUrgent[share.Service] = priority
			}
		}
	}
	for name, s := range p.services {
		if _, ok := mostUrgent[name]; !ok {
			s.mostUrgent = math.MaxInt
		}
	}
	for name, priority := range mostUrgent {
		p.service(name).mostUrgent = priority
	}
}

// teamPriorities returns the most urgent priority that a team has of its own, and whether some requests have that of their
// route.
func teamPriorities(teams []eelgrassbeam.Team) (mostUrgent int, usesRoutes bool) {
	mostUrgent, usesRoutes = math.MaxInt, len(teams) == 0
	for i := range teams {
		if !teams[i].HasPriority {
			usesRoutes = true
			continue
		}
		mostUrgent = min(mostUrgent, teams[i].Priority)
	}
	return mostUrgent, usesRoutes
}
