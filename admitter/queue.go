package admitter

import (
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// fairQueue is a bounded queue that serves teams in proportion to their weights, by deficit round robin.
type fairQueue struct {
	limit   int
	weights map[eelgrassbeam.TeamID]float64
	// maxWeight is the largest weight; a team of that weight is served in every round.
	maxWeight float64
	teams     map[eelgrassbeam.TeamID]*teamQueue
	// active lists the teams with waiting requests in round-robin order.
	active *list.List
	// activeWeight is the sum of the weights of the active teams.
	activeWeight float64
	length       int
}

// teamQueue holds the waiting requests of one team in order of arrival.
type teamQueue struct {
	id            eelgrassbeam.TeamID
	weight        float64
	quantum       float64
	deficit       float64
	tickets       []*Ticket
	element       *list.Element
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
		limit: limit, weights: weights, maxWeight: maxWeight,
		teams: make(map[eelgrassbeam.TeamID]*teamQueue), active: list.New(),
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
	for range q.active.Len() {
		team := q.active.Front().Value.(*teamQueue)
		team.deficit += team.quantum
		if team.deficit >= 1 {
			return q.dequeue(team, now)
		}
		q.active.MoveToBack(team.element)
	}
	q.skipRounds()
	return q.pop(now)
}

func (q *fairQueue) dequeue(team *teamQueue, now time.Time) *Ticket {
	ticket := team.tickets[0]
	team.tickets[0] = nil
	team.tickets = team.tickets[1:]
	team.deficit--
	team.startInterval.observe(now)
	q.length--
	q.active.MoveToBack(team.element)
	q.removeIfEmpty(team)
	return ticket
}

// skipRounds adds to each team's deficit the quanta of the next rounds in which no team would be served, instead of
// running those rounds one by one.
func (q *fairQueue) skipRounds() {
	rounds := math.Inf(1)
	for e := q.active.Front(); e != nil; e = e.Next() {
		team := e.Value.(*teamQueue)
		rounds = min(rounds, math.Ceil((1-team.deficit)/team.quantum)-1)
	}
	for e := q.active.Front(); e != nil; e = e.Next() {
		team := e.Value.(*teamQueue)
		team.deficit += max(0, rounds) * team.quantum
	}
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
	team := &teamQueue{id: id, weight: weight, quantum: weight / q.maxWeight, startInterval: startInterval{lastStart: now}}
	team.element = q.active.PushBack(team)
	q.teams[id] = team
	q.activeWeight += weight
	return team
}

func (q *fairQueue) removeIfEmpty(team *teamQueue) {
	if len(team.tickets) > 0 {
		return
	}
	q.active.Remove(team.element)
	delete(q.teams, team.id)
	q.activeWeight -= team.weight
	if q.active.Len() == 0 {
		q.activeWeight = 0
	}
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
	for e := q.active.Front(); e != nil; e = e.Next() {
		team := e.Value.(*teamQueue)
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
	weight, total, own := q.weight(id), q.activeWeight, 0
	if team, ok := q.teams[id]; ok {
		own = len(team.tickets)
	} else {
		total += weight
	}
	return min(float64(q.length), float64(own+1)*total/weight-1)
}

// weightedLength returns the length of the queue with extra more tickets, divided by the team's weight.
func (t *teamQueue) weightedLength(extra int) float64 {
	return float64(len(t.tickets)+extra) / t.weight
}
