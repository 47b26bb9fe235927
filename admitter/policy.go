package admitter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// SetPolicy applies new floors, queue limits and team weights. Waiting requests keep their order within their team;
// those beyond the new queue limit are refused with ErrQueueFull.
func (a *Admitter) SetPolicy(service eelgrassbeam.Service, weights map[eelgrassbeam.TeamID]float64) {
	a.mu.Lock()
	now := a.advance()
	a.config.Service, a.config.Weights = service, weights
	var decided []decision
	for _, rank := range a.ranks {
		policy := service.Policy(rank.rank)
		rank.floor = policy.Floor
		decided = append(decided, rank.requeue(newFairQueue(policy.QueueLimit, weights), !a.disabled.fairness, now)...)
	}
	decided = a.dispatch(now, decided)
	a.mu.Unlock()
	a.notifyAll(decided)
}

// requeue moves the waiting requests and the start intervals of their teams to next. It returns refusals for the
// requests that next has no room for.
func (r *rankState) requeue(next *fairQueue, fair bool, now time.Time) []decision {
	intervals := r.queue.startIntervals()
	var refused []decision
	for r.queue.length > 0 {
		ticket := r.queue.pop(now)
		evicted, ok := next.push(ticket, fair)
		if !ok {
			evicted = ticket
		}
		if evicted != nil {
			refused = append(refused, decision{ticket: evicted, err: ErrQueueFull})
		}
	}
	next.setStartIntervals(intervals)
	r.queue = next
	return refused
}
