package picker

import (
	"cmp"
	"hash/maphash"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// refreshInterval is the time between checks for slots that became available without a Release.
	refreshInterval = 20 * time.Millisecond
	// preferredCount is the number of upstreams, from the start of a key's rendezvous order, that are assumed to have
	// the key's object cached; see docs/design-platform.md.
	preferredCount = 2
	// overcommitCount is the number of upstreams, from the start of a key's rendezvous order, that take queueAllowance
	// requests above their slots: a short queue at an upstream that has the object cached is faster than a free slot at
	// one that has not.
	overcommitCount = 2
	queueAllowance  = 6.0
	// lowPriorityQueueAllowance replaces queueAllowance if the service has a more urgent route than the request's.
	lowPriorityQueueAllowance = 1.0
	// cacheMissFactor multiplies the service time of an object that the upstream has not handled recently.
	cacheMissFactor = 5.0
	// coldFactor multiplies the service time of an upstream in slow start.
	coldFactor = 2.0
	// positionPenalty is the cost of each further position in the rendezvous order, as a share of the service time.
	positionPenalty = 0.6
	// loadWeight is the cost of a full upstream, as a share of the service time, so that equal preferred upstreams
	// share the load.
	loadWeight = 0.3
	// crossZoneCost and crossRegionCost are the costs of a network path as time: its round-trip time and its price
	// per byte.
	crossZoneCost   = 30 * time.Millisecond
	crossRegionCost = 120 * time.Millisecond
	// minServiceTime is the minimum service time assumed for a route; it applies until the first response.
	minServiceTime = 100 * time.Millisecond
	// reportHalfLife is the half-life of a load report's weight.
	reportHalfLife = 400 * time.Millisecond
	// ewmaWeight is the weight of the newest value in an exponentially weighted moving average.
	ewmaWeight = 0.1
	// objectTTL is how long an upstream is assumed to have an object cached after a request for it.
	objectTTL = 8 * time.Second
	// maxObjects bounds the objects tracked per upstream.
	maxObjects = 512
	// ejectionThreshold is the number of consecutive failures that eject an upstream, for baseEjectionTime at first
	// and twice as long each further time, up to maxEjectionTime.
	ejectionThreshold = 2
	baseEjectionTime  = 500 * time.Millisecond
	maxEjectionTime   = 4 * time.Second
	// minCompletionRate is the rate, in responses per second, below which no queueing delay is estimated: an estimate
	// from too few responses would reject requests falsely.
	minCompletionRate = 3.0
	// leavingRetention is how long a leaving upstream is remembered after it has left the view, so that it isn't used if the
	// store lists it again.
	leavingRetention = time.Minute
	// maxCachedOrders bounds the keys whose rendezvous order is cached per service.
	maxCachedOrders = 2048
	// minRetryAfter and maxRetryAfter bound the delay that rejected callers are told to wait.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// state is what this entry knows of one upstream. It is reset when the upstream restarts or changes its address.
type state struct {
	upstream eelgrassbeam.Upstream
	// networkCost is the cost of the network path, as time; isEvacuated reports whether the upstream's zone gets no
	// new requests. Both are updated with the view.
	networkCost time.Duration
	isEvacuated bool
	inFlight    int
	// otherInFlight is the number of other entries' requests at the upstream as of the latest report.
	otherInFlight float64
	reportedAt    time.Time
	// pace is how long work takes as a multiple of the usual time by the latest report; zero if not reported.
	pace         float64
	serviceTime  time.Duration // mean
	failures     int
	ejections    int
	ejectedAt    time.Time
	ejectedUntil time.Time
	// localColdUntil is the end of the slow start that this entry applies after an ejection.
	localColdUntil time.Time
	// leavingSince is when a response first said that the upstream is leaving; zero if none has. It holds until the
	// upstream starts again.
	leavingSince time.Time
	// pausedUntil is the time until which the upstream wants no requests from this entry.
	pausedUntil time.Time
	// limit is the rate in requests per second that the upstream takes from all entries together by its latest response;
	// zero for none.
	limit float64
	// tokens is the number of requests that this entry may send while it uses a part of the upstream's rate.
	tokens   float64
	tokensAt time.Time
	// position caches the result of Picker.sharePosition for the entries of version positionVersion.
	position        int
	positionVersion uint64
	cachedObjects   map[uint64]time.Time
}

func newState(upstream eelgrassbeam.Upstream) *state {
	return &state{upstream: upstream, cachedObjects: make(map[uint64]time.Time)}
}

// isLeaving reports whether the store or the upstream itself says that it is leaving.
func (u *state) isLeaving() bool {
	return u.upstream.State != eelgrassbeam.InstanceLive || !u.leavingSince.IsZero()
}

// says reports whether the upstream says so of itself at present.
func (u *state) says(kind NoticeKind, now time.Time) bool {
	switch kind {
	case NoticeLimit:
		return u.limit > 0
	case NoticeLeaving:
		return !u.leavingSince.IsZero()
	case NoticePause:
		return now.Before(u.pausedUntil)
	default:
		return false
	}
}

func (u *state) slots() int { return max(u.upstream.Slots, 1) }

// load estimates the number of requests at the upstream: this entry's own count plus the other entries' requests
// from the latest report. The report decays with age, so that an entry crowded out by others tries the upstream
// again.
func (u *state) load(now time.Time) float64 {
	if u.otherInFlight == 0 {
		return float64(u.inFlight)
	}
	return float64(u.inFlight) + u.otherInFlight*decayFactor(now.Sub(u.reportedAt), reportHalfLife)
}

// slowness returns the upstream's mean service time relative to that of the service. The bounds of 0.5 and 6 limit how
// far an upstream's own mean changes its estimated service time.
func (u *state) slowness(s *service) float64 {
	if u.serviceTime == 0 || s.serviceTime == 0 {
		return 1
	}
	return min(max(float64(u.serviceTime)/float64(s.serviceTime), 0.5), 6)
}

func (u *state) isEjected(now time.Time) bool { return now.Before(u.ejectedUntil) }

// isCold reports whether the upstream is in slow start, after its own start or after an ejection, and gets requests
// only at the cold rate.
func (u *state) isCold(now time.Time) bool {
	return now.Before(u.upstream.ColdUntil) || now.Before(u.localColdUntil)
}

// refill refills the token bucket of an upstream whose rate is shared and returns the number of requests that this
// entry may send to it now.
func (u *state) refill(now time.Time, perSecond float64) float64 {
	if u.tokensAt.IsZero() {
		u.tokens = 1
	} else {
		u.tokens = min(1, u.tokens+now.Sub(u.tokensAt).Seconds()*perSecond)
	}
	u.tokensAt = now
	return u.tokens
}

func (u *state) hasCached(object uint64, now time.Time) bool {
	at, ok := u.cachedObjects[object]
	return ok && now.Sub(at) < objectTTL
}

func (u *state) markCached(object uint64, now time.Time) {
	if object == 0 {
		return
	}
	if len(u.cachedObjects) >= maxObjects {
		clear(u.cachedObjects)
	}
	u.cachedObjects[object] = now
}

// recordFailure records a failed exchange and reports whether it ejects the upstream. Exchanges from before the latest
// ejection don't count, since they failed for the same cause.
func (u *state) recordFailure(acquiredAt, now time.Time, coldStart time.Duration) bool {
	if acquiredAt.Before(u.ejectedAt) {
		return false
	}
	u.failures++
	if u.failures < ejectionThreshold {
		return false
	}
	u.failures = 0
	u.ejectedAt = now
	u.ejectedUntil = now.Add(min(baseEjectionTime<<u.ejections, maxEjectionTime))
	u.ejections = min(u.ejections+1, 4) // maxEjectionTime applies from 3 on; the limit prevents an overflow of the shift
	u.localColdUntil = u.ejectedUntil.Add(coldStart)
	return true
}

// recordSuccess records a response and reports whether it is the first after an ejection.
func (u *state) recordSuccess() bool {
	wasEjected := u.ejections > 0
	u.failures, u.ejections = 0, 0
	return wasEjected
}

var hashSeed = maphash.MakeSeed()

// objectHash returns the hash of the object that the job requests, zero if upstreams cache nothing for it.
func objectHash(job Job) uint64 {
	if job.Key == "" || !job.Route.Sticky {
		return 0
	}
	return max(maphash.String(hashSeed, job.Route.Name+"\x00"+job.Key), 1)
}

// affinityKey holds the inputs of the rendezvous order besides the upstreams.
type affinityKey struct{ prefix, key string }

// rendezvousOrder returns the service's upstreams ordered by weighted rendezvous hashing of the key: all entries
// with the same view agree, and a lost upstream moves only its own keys. Requests without a key are ordered by
// request ID.
func (s *service) rendezvousOrder(job Job) []*state {
	if job.Key == "" {
		return s.sortByScore(affinityKey{job.Route.PathPrefix, string(job.Request)})
	}
	key := affinityKey{job.Route.PathPrefix, job.Key}
	if found, ok := s.orderCache[key]; ok {
		return found
	}
	if len(s.orderCache) >= maxCachedOrders {
		clear(s.orderCache)
	}
	s.orderCache[key] = s.sortByScore(key)
	return s.orderCache[key]
}

func (s *service) sortByScore(key affinityKey) []*state {
	type scored struct {
		state *state
		score float64
	}
	found := make([]scored, len(s.upstreams))
	for i, u := range s.upstreams {
		found[i] = scored{state: u, score: rendezvousScore(key, u)}
	}
	slices.SortFunc(found, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	order := make([]*state, len(found))
	for i := range found {
		order[i] = found[i].state
	}
	return order
}

// rendezvousScore returns the rendezvous hashing score of the upstream for the key, weighted by its slots.
func rendezvousScore(key affinityKey, u *state) float64 {
	return assigner.WeightedScore(xxhash.Sum64String(key.prefix+"\x00"+key.key+"\x00"+string(u.upstream.ID)), float64(u.slots()))
}
