package admitter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// maxWait bounds the expected wait, and is the expected wait of a rank that gets no share of the slots.
const maxWait = time.Hour

// wouldMissDeadline reports whether the expected wait exceeds the permitted share of the remaining time, or leaves
// less than the mean service time of the rank.
func (a *Admitter) wouldMissDeadline(ticket *Ticket, now time.Time) bool {
	wait := a.expectedWait(ticket.rank, ticket.request.Team)
	if wait == 0 {
		return false
	}
	left := ticket.deadline.Sub(now)
	return wait > time.Duration(a.config.WaitShare*float64(left)) || wait+ticket.rank.serviceTime.value > left
}

// expectedWait estimates the wait of a new request from the requests ahead of it, the rank's share of the slots and
// the team's own backlog.
func (a *Admitter) expectedWait(rank *rankState, team eelgrassbeam.TeamID) time.Duration {
	slots := float64(a.upstreams.slots())
	ahead := rank.queue.ahead(team)
	if a.serviceTime.value == 0 || ahead == 0 && a.upstreams.inProgress() < int(slots) {
		return 0
	}
	share := a.expectedShare(rank)
	if share*slots == 0 {
		return maxWait
	}
	wait := (ahead + 1) * float64(a.serviceTime.value) / (share * slots)
	return max(time.Duration(min(wait, float64(maxWait))), a.teamWait(rank, team))
}

// expectedShare estimates the share of the slots, 0 to 1, that the rank gets while it has requests waiting.
func (a *Admitter) expectedShare(rank *rankState) float64 {
	share := 1 - rank.higherShare
	for _, other := range a.ranks[rank.rank.Index()+1:] {
		if other.queue.length > 0 {
			share -= other.floor
		}
	}
	return max(share, rank.floor)
}

// teamWait estimates the wait from the team's own backlog and the mean interval at which its requests start. It
// accounts for later arrivals of other teams, which the length of the queue does not show.
func (a *Admitter) teamWait(rank *rankState, team eelgrassbeam.TeamID) time.Duration {
	queue, ok := rank.queue.teams[team]
	if !ok {
		return 0
	}
	return time.Duration(len(queue.tickets)+1) * queue.startInterval.mean.value
}
