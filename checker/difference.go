package checker

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Difference is a change between two configurations, in an operator's words.
type Difference struct {
	Place  string `json:"place"`
	Change string `json:"change"`
}

// Compare returns what the later routing changes of the one in force. It doesn't show credentials.
func Compare(inForce, later *eelgrassbeam.Routing) []Difference {
	var found []Difference
	add := func(place, format string, args ...any) {
		found = append(found, Difference{Place: place, Change: fmt.Sprintf(format, args...)})
	}
	if later.Version <= inForce.Version {
		add("version", "%d isn't above %d, which is in force: entries ignore it", later.Version, inForce.Version)
	}
	before, after := routesByName(inForce), routesByName(later)
	for _, name := range sortedKeys(before) {
		if _, isKept := after[name]; !isKept {
			add("route "+name, "removed: %s%s", before[name].Host, before[name].PathPrefix)
		}
	}
	for _, name := range sortedKeys(after) {
		old, isKnown := before[name]
		if !isKnown {
			add("route "+name, "added: %s%s to %s", after[name].Host, after[name].PathPrefix, formatShares(after[name].Shares))
			continue
		}
		for _, change := range routeChanges(old, after[name]) {
			add("route "+name, "%s", change)
		}
	}
	for _, name := range sortedKeys(inForce.Services) {
		if _, isKept := later.Services[name]; !isKept {
			add("service "+string(name), "removed")
		}
	}
	for _, name := range sortedKeys(later.Services) {
		old, isKnown := inForce.Services[name]
		if !isKnown {
			add("service "+string(name), "added")
			continue
		}
		for _, change := range fieldChanges(old, later.Services[name]) {
			add("service "+string(name), "%s", change)
		}
	}
	for _, change := range fieldChanges(inForce.Limits, later.Limits) {
		add("limits", "%s", change)
	}
	return append(found, compareTeams(inForce, later)...)
}

func routesByName(routing *eelgrassbeam.Routing) map[string]eelgrassbeam.PathRoute {
	byName := make(map[string]eelgrassbeam.PathRoute, len(routing.Routes))
	for _, route := range routing.Routes {
		byName[route.Name] = route
	}
	return byName
}

func routeChanges(before, after eelgrassbeam.PathRoute) []string {
	var changes []string
	if !reflect.DeepEqual(before.Shares, after.Shares) {
		changes = append(changes, fmt.Sprintf("moves from %s to %s", formatShares(before.Shares), formatShares(after.Shares)))
	}
	before.Shares, after.Shares = nil, nil
	return append(changes, fieldChanges(before, after)...)
}

// fieldChanges returns the fields of two structs of one type that differ.
func fieldChanges[T any](before, after T) []string {
	var changes []string
	old, next := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		if a, b := old.Field(i).Interface(), next.Field(i).Interface(); !reflect.DeepEqual(a, b) {
			changes = append(changes, fmt.Sprintf("%s: %v -> %v", words(old.Type().Field(i).Name), a, b))
		}
	}
	return changes
}

// words splits the name of a field, so that PathPrefix becomes path prefix.
func words(name string) string {
	var text strings.Builder
	for i, letter := range name {
		if i > 0 && letter >= 'A' && letter <= 'Z' {
			text.WriteByte(' ')
		}
		text.WriteRune(letter)
	}
	return strings.ToLower(text.String())
}

func formatShares(shares []eelgrassbeam.ServiceShare) string {
	if len(shares) == 0 {
		return "no service"
	}
	total, parts := 0.0, make([]string, len(shares))
	for _, share := range shares {
		total += share.Weight
	}
	for i, share := range shares {
		parts[i] = string(share.Service)
		if len(shares) > 1 && total > 0 {
			parts[i] += fmt.Sprintf(" %.0f%%", 100*share.Weight/total)
		}
	}
	return strings.Join(parts, ", ")
}

func compareTeams(inForce, later *eelgrassbeam.Routing) []Difference {
	var found []Difference
	add := func(team eelgrassbeam.TeamID, format string, args ...any) {
		found = append(found, Difference{Place: "team " + string(team), Change: fmt.Sprintf(format, args...)})
	}
	before, after := teamsByID(inForce), teamsByID(later)
	for _, id := range sortedKeys(before) {
		if _, isKept := after[id]; !isKept {
			add(id, "removed with %d credentials", len(before[id].Credentials))
		}
	}
	for _, id := range sortedKeys(after) {
		old, isKnown := before[id]
		next := after[id]
		if !isKnown {
			add(id, "added with %d credentials", len(next.Credentials))
			continue
		}
		if gone := countMissing(old.Credentials, next.Credentials); gone > 0 {
			add(id, "%d credentials taken away", gone)
		}
		if added := countMissing(next.Credentials, old.Credentials); added > 0 {
			add(id, "%d credentials added", added)
		}
		old.Credentials, next.Credentials = nil, nil
		for _, change := range fieldChanges(old, next) {
			add(id, "%s", change)
		}
	}
	return found
}

func teamsByID(routing *eelgrassbeam.Routing) map[eelgrassbeam.TeamID]eelgrassbeam.Team {
	byID := make(map[eelgrassbeam.TeamID]eelgrassbeam.Team, len(routing.Teams))
	for _, team := range routing.Teams {
		byID[team.ID] = team
	}
	return byID
}

// countMissing returns how many credentials of the first list the second lacks.
func countMissing(credentials, others []eelgrassbeam.Credential) int {
	missing := 0
	for _, credential := range credentials {
		if !slices.Contains(others, credential) {
			missing++
		}
	}
	return missing
}
