package picker

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// coldEntryCount is the number of entries that share the request rate of an upstream in slow start.
	coldEntryCount = 2
	// minLimitEntryCount is the number of entries that share the rate that an upstream names as its limit, plus one for
	// each request a second. Each of them may send one request at any moment, so more would exceed a low limit in a short
	// time; with fewer, tokens are lost while their entries have no request for the upstream.
	minLimitEntryCount = 4
	// trialShare is the part of a limit that is left to all other entries. Their requests show when the limit changes or
	// ends.
	trialShare = 0.2
	// entriesTTL is how long the list of entries among which rates are divided is cached: short compared with the seconds
	// that the detection of a lost entry takes.
	entriesTTL = 200 * time.Millisecond
)

// ration is the part of an upstream's request rate that this entry may use.
type ration struct {
	perSecond float64
	// isSharer reports whether this entry is one of those that share the rate. Requests wait for its tokens; other entries
	// send only if they have one.
	isSharer bool
}

// ration returns this entry's part of the upstream's rate and whether there is such a rate: the upstream is in slow
// start or names a limit. The rate is divided among few entries, so that the total stays within it without coordination
// per request.
func (p *Picker) ration(u *state, now time.Time) (ration, bool) {
	isCold := u.isCold(now)
	if !isCold && u.limit == 0 {
		return ration{}, false
	}
	position, share := p.sharePosition(u, now), ration{perSecond: math.Inf(1), isSharer: true}
	if isCold {
		share = ration{perSecond: p.coldRate(u), isSharer: position < coldEntryCount}
		if !share.isSharer {
			share.perSecond = 0
		}
	}
	if u.limit > 0 {
		limited := limitShare(u.limit, position, len(p.entries))
		share = ration{perSecond: min(share.perSecond, limited.perSecond), isSharer: share.isSharer && limited.isSharer}
	}
	return share, true
}

// limitEntryCount returns the number of entries that share a limit.
func limitEntryCount(limit float64) int { return minLimitEntryCount + int(min(limit, math.MaxInt32)) }

// limitShare returns the part of a limit for the entry at the given position among the live ones.
func limitShare(limit float64, position, entries int) ration {
	sharers := min(limitEntryCount(limit), max(entries, coldEntryCount))
	others := entries - sharers
	if others <= 0 {
		return ration{perSecond: limit / float64(sharers), isSharer: position < sharers}
	}
	if position < sharers {
		return ration{perSecond: limit * (1 - trialShare) / float64(sharers), isSharer: true}
	}
	return ration{perSecond: limit * trialShare / float64(others)}
}

// mayUse reports whether the upstream's rate, if it has one, lets this entry send to it now or after a wait.
func (p *Picker) mayUse(u *state, now time.Time) bool {
	share, isRationed := p.ration(u, now)
	return !isRationed || share.perSecond > 0 && (share.isSharer || u.refill(now, share.perSecond) >= 1)
}

// sharePosition returns the position of this entry among those that may share the upstream's rate.
func (p *Picker) sharePosition(u *state, now time.Time) int {
	p.refreshEntries(now)
	if u.positionVersion == p.entriesVersion {
		return u.position
	}
	position, upstream := 0, string(u.upstream.ID)
	ownScore := assigner.RendezvousScore(upstream, p.config.Self.ID)
	for _, id := range p.entries {
		if id != p.config.Self.ID && assigner.RendezvousScore(upstream, id) > ownScore {
			position++
		}
	}
	u.position, u.positionVersion = position, p.entriesVersion
	return position
}

// refreshEntries reads the live entries unless they were read within entriesTTL. The list is shared by all upstreams
// with a rate, since building it for each of them would take most of a small instance's processor time.
func (p *Picker) refreshEntries(now time.Time) {
	if p.entriesVersion > 0 && now.Sub(p.entriesAt) < entriesTTL {
		return
	}
	entries := p.config.Entries()
	if p.entriesVersion == 0 || !slices.Equal(entries, p.entries) {
		p.entries = entries
		p.entriesVersion++
	}
	p.entriesAt = now
}

func (p *Picker) coldRate(u *state) float64 {
	if p.view.Routing == nil {
		return 0
	}
	return p.view.Routing.Services[u.upstream.Service].ColdPerSecond / coldEntryCount
}

// beginLimit sets the tokens for an upstream that begins to name a limit. Entries learn of it at the same time; each
// starts at another point of its period, so that they don't send at the same time later.
func (p *Picker) beginLimit(u *state, now time.Time) {
	phase := float64(xxhash.Sum64String(string(p.config.Self.ID)+"\x00"+string(u.upstream.ID))) / math.MaxUint64
	if p.sharePosition(u, now) >= limitEntryCount(u.limit) {
		phase--
	}
	u.tokens, u.tokensAt = phase, now
}
