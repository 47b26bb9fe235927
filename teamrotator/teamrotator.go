// Package teamrotator decides whose request is served next, so that teams with waiting requests are served in proportion to
// their weights, by deficit round robin.
package teamrotator

import (
	"container/list"
	"math"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Rotator holds the teams with waiting requests in round-robin order.
type Rotator struct {
	// maxWeight is the largest weight; a team of that weight is served in every round.
	maxWeight float64
	active    *list.List
	turns     map[eelgrassbeam.TeamID]*turn
	// weight is the sum of the weights of the active teams.
	weight float64
}

// turn is a team's place in the rotation.
type turn struct {
	id              eelgrassbeam.TeamID
	weight, quantum float64
	deficit         float64
	element         *list.Element
}

// New returns a Rotator without teams. No weight may be above maxWeight.
func New(maxWeight float64) *Rotator {
	return &Rotator{maxWeight: maxWeight, active: list.New(), turns: make(map[eelgrassbeam.TeamID]*turn)}
}

// Add adds a team that has begun to wait at the end of the rotation.
func (r *Rotator) Add(id eelgrassbeam.TeamID, weight float64) {
	if r.turns[id] != nil {
		return
	}
	added := &turn{id: id, weight: weight, quantum: weight / r.maxWeight}
	added.element = r.active.PushBack(added)
	r.turns[id] = added
	r.weight += weight
}

// Remove removes a team that has no waiting request left.
func (r *Rotator) Remove(id eelgrassbeam.TeamID) {
	removed := r.turns[id]
	if removed == nil {
		return
	}
	r.active.Remove(removed.element)
	delete(r.turns, id)
	r.weight -= removed.weight
	if r.active.Len() == 0 {
		r.weight = 0
	}
}

// Len returns the number of teams.
func (r *Rotator) Len() int { return r.active.Len() }

// Order returns the teams in the order of the rotation.
func (r *Rotator) Order() []eelgrassbeam.TeamID {
	order := make([]eelgrassbeam.TeamID, 0, r.active.Len())
	for e := r.active.Front(); e != nil; e = e.Next() {
		order = append(order, e.Value.(*turn).id)
	}
	return order
}

// Next returns the team whose turn it is, which Served has to follow. There must be a team.
func (r *Rotator) Next() eelgrassbeam.TeamID {
	for range r.active.Len() {
		front := r.active.Front().Value.(*turn)
		front.deficit += front.quantum
		if front.deficit >= 1 {
			return front.id
		}
		r.active.MoveToBack(front.element)
	}
	r.skipRounds()
	return r.Next()
}

// Served takes a turn off the team's account and moves it to the end of the rotation.
func (r *Rotator) Served(id eelgrassbeam.TeamID) {
	if served := r.turns[id]; served != nil {
		served.deficit--
		r.active.MoveToBack(served.element)
	}
}

// skipRounds adds to each team's deficit the quanta of the next rounds in which no team would be served, instead of
// running those rounds one by one.
func (r *Rotator) skipRounds() {
	rounds := math.Inf(1)
	for e := r.active.Front(); e != nil; e = e.Next() {
		each := e.Value.(*turn)
		rounds = min(rounds, math.Ceil((1-each.deficit)/each.quantum)-1)
	}
	for e := r.active.Front(); e != nil; e = e.Next() {
		each := e.Value.(*turn)
		each.deficit += max(0, rounds) * each.quantum
	}
}

// Ahead estimates the number of requests that are served before a new one of the team: own are its waiting requests, total
// those of all teams.
func (r *Rotator) Ahead(id eelgrassbeam.TeamID, weight float64, own, total int) float64 {
	active := r.weight
	if r.turns[id] == nil {
		active += weight
	}
	return min(float64(total), float64(own+1)*active/weight-1)
}
