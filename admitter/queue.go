package admitter

import (
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/teamrotator"
)

// fairQueue is a bounded queue that serves teams in proportion to their weights, by deficit round robin.
type fairQueue struct {
	limit   int
	weights map[eelgrassbeam.TeamID]float64
	teams   map[eelgrassbeam.TeamID]*teamQueue
	// rotator decides which of the teams is served next.
	rotator *teamrotator.Rotator
	length  int
}

// teamQueue holds the waiting requests of one team in order of arrival.
type teamQueue struct {
	id            eelgrassbeam.TeamID
	weight        float64
	tickets       []*Ticket
	startInterval startInterval
}

// startInterval is the mean time between starts of a team's requests while the team has more of them waiting.
type startInterval struct {
	mean      mean
	lastStart time.Time
}

func (i *startInterval) observe(now time.Time) {
	i.mean.add(now.Sub(i.lastStart))
	i.lastStart = now
}

func newFairQueue(limit int, weights map[eelgrassbeam.TeamID]float64) *fairQueue {
	maxWeight := 1.0
	for _, weight := range weights {
		maxWeight = max(maxWeight, weight)
	}
	return &fairQueue{
		limit: limit, weights: weights, teams: make(map[eelgrassbeam.TeamID]*teamQueue), rotator: teamrotator.New(maxWeight),
	}
}

// push adds the ticket. If the queue is full, it evicts the newest ticket of the team with the longest queue relative
// to its weight. If the new ticket's team has that queue, or would have one at least as long, it rejects the ticket
// and returns false. If fair is false, all tickets belong to one team.
func (q *fairQueue) push(ticket *Ticket, fair bool) (evicted *Ticket, ok bool) {
	id := ticket.request.Team
	if !fair {
		id = ""
	}
	if q.length >= q.limit {
		longest := q.longest()
		if longest == nil || longest.id == id || longest.weightedLength(0) <= q.weightedLengthAfterPush(id) {
			return nil, false
		}
		evicted = longest.tickets[len(longest.tickets)-1]
		q.remove(evicted)
	}
	team := q.ensureTeam(id, ticket.queued)
	ticket.team = team
	team.tickets = append(team.tickets, ticket)
	q.length++
	return evicted, true
}

// pop removes and returns the next ticket; the queue must not be empty.
func (q *fairQueue) pop(now time.Time) *Ticket {
	team := q.teams[q.rotator.Next()]
	ticket := team.tickets[0]
	team.tickets[0] = nil
	team.tickets = team.tickets[1:]
	team.startInterval.observe(now)
	q.length--
	q.rotator.Served(team.id)
	q.removeIfEmpty(team)
	return ticket
}

func (q *fairQueue) remove(ticket *Ticket) bool {
	team := ticket.team
	if team == nil {
		return false
	}
	i := slices.Index(team.tickets, ticket)
	if i < 0 {
		return false
	}
	team.tickets = slices.Delete(team.tickets, i, i+1)
	q.length--
	q.removeIfEmpty(team)
	return true
}

func (q *fairQueue) ensureTeam(id eelgrassbeam.TeamID, now time.Time) *teamQueue {
	if team, ok := q.teams[id]; ok {
		return team
	}
	weight := q.weight(id)
	team := &teamQueue{id: id, weight: weight, startInterval: startInterval{lastStart: now}}
	q.rotator.Add(id, weight)
	q.teams[id] = team
	return team
}

func (q *fairQueue) removeIfEmpty(team *teamQueue) {
	if len(team.tickets) > 0 {
		return
	}
	q.rotator.Remove(team.id)
	delete(q.teams, team.id)
}

func (q *fairQueue) startIntervals() map[eelgrassbeam.TeamID]startInterval {
	intervals := make(map[eelgrassbeam.TeamID]startInterval, len(q.teams))
	for id, team := range q.teams {
		intervals[id] = team.startInterval
	}
	return intervals
}

func (q *fairQueue) setStartIntervals(intervals map[eelgrassbeam.TeamID]startInterval) {
	for id, team := range q.teams {
		team.startInterval = intervals[id]
	}
}

func (q *fairQueue) weight(id eelgrassbeam.TeamID) float64 {
	if weight := q.weights[id]; weight > 0 {
		return weight
	}
	return 1
}

func (q *fairQueue) longest() *teamQueue {
	var longest *teamQueue
	for _, id := range q.rotator.Order() {
		team := q.teams[id]
		if longest == nil || team.weightedLength(0) > longest.weightedLength(0) {
			longest = team
		}
	}
	return longest
}

// weightedLengthAfterPush returns the length of the team's queue with one more ticket, divided by the team's weight.
func (q *fairQueue) weightedLengthAfterPush(id eelgrassbeam.TeamID) float64 {
	if team, ok := q.teams[id]; ok {
		return team.weightedLength(1)
	}
	return 1 / q.weight(id)
}

// ahead estimates the number of requests that are served before a new request of the team.
func (q *fairQueue) ahead(id eelgrassbeam.TeamID) float64 {
	own := 0
	if team, ok := q.teams[id]; ok {
		own = len(team.tickets)
	}
	return q.rotator.Ahead(id, q.weight(id), own, q.length)
}

// weightedLength returns the length of the queue with extra more tickets, divided by the team's weight.
func (t *teamQueue) weightedLength(extra int) float64 {
	return float64(len(t.tickets)+extra) / t.weight
}
