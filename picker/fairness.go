package picker

import (
	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/teamrotator"
)

// teamWeight is the weight of each team: those of one priority are served in turn.
const teamWeight = 1.0

// waitingKey identifies the waiting requests of one team and priority.
type waitingKey struct {
	priority int
	team     eelgrassbeam.TeamID
}

func (j Job) waitingKey() waitingKey {
	key := waitingKey{priority: j.priority()}
	if j.Team != nil {
		key.team = j.Team.ID
	}
	return key
}

// rotator returns the rotation of the teams with waiting requests of the priority.
func (s *service) rotator(priority int) *teamrotator.Rotator {
	if s.rotators[priority] == nil {
		s.rotators[priority] = teamrotator.New(teamWeight)
	}
	return s.rotators[priority]
}

// joined records that the request has begun to wait, left that it has ended.
func (s *service) joined(job Job) {
	key := job.waitingKey()
	s.waitingCounts[key]++
	s.rotator(key.priority).Add(key.team, teamWeight)
}

func (s *service) left(job Job) {
	key := job.waitingKey()
	if s.waitingCounts[key]--; s.waitingCounts[key] > 0 {
		return
	}
	delete(s.waitingCounts, key)
	s.rotator(key.priority).Remove(key.team)
}

// served takes a turn off the team's account.
func (s *service) served(job Job) {
	key := job.waitingKey()
	s.rotator(key.priority).Served(key.team)
}

// order returns the waiting requests in the order in which they are served: by priority, and among those of one priority in
// turns of their teams, each team's in order of arrival. So a team that sends many requests delays its own.
func (s *service) order() []*waiter {
	if s.ignoresTeams || !s.hasSeveralTeams() {
		return s.waiting
	}
	ordered := make([]*waiter, 0, len(s.waiting))
	for start := 0; start < len(s.waiting); {
		priority, end := s.waiting[start].job.priority(), start
		byTeam := make(map[eelgrassbeam.TeamID][]*waiter)
		for end < len(s.waiting) && s.waiting[end].job.priority() == priority {
			team := s.waiting[end].job.waitingKey().team
			byTeam[team] = append(byTeam[team], s.waiting[end])
			end++
		}
		ordered = appendInTurns(ordered, byTeam, s.rotator(priority).Order(), end-start)
		start = end
	}
	return ordered
}

// hasSeveralTeams reports whether requests of more than one team wait with one priority.
func (s *service) hasSeveralTeams() bool {
	for _, rotator := range s.rotators {
		if rotator.Len() > 1 {
			return true
		}
	}
	return false
}

// appendInTurns appends the first request of each team, then the second of each, and so on.
func appendInTurns(ordered []*waiter, byTeam map[eelgrassbeam.TeamID][]*waiter, teams []eelgrassbeam.TeamID, count int) []*waiter {
	for at := 0; count > 0; at++ {
		for _, team := range teams {
			if at < len(byTeam[team]) {
				ordered = append(ordered, byTeam[team][at])
				count--
			}
		}
	}
	return ordered
}

// ahead estimates the number of waiting requests that are served before the job.
func (s *service) ahead(job Job) float64 {
	key, moreUrgent, same := job.waitingKey(), 0, 0
	for each, count := range s.waitingCounts {
		switch {
		case each.priority < key.priority:
			moreUrgent += count
		case each.priority == key.priority:
			same += count
		}
	}
	if s.ignoresTeams {
		return float64(moreUrgent + same)
	}
	return float64(moreUrgent) + s.rotator(key.priority).Ahead(key.team, teamWeight, s.waitingCounts[key], same)
}
