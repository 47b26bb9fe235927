package picker

import (
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

// sharesColdRate reports whether this entry is one of the coldEntryCount entries that may send to the upstream
// during slow start. The cold rate is divided among them, so that the total stays within it without coordination
// per request.
func (p *Picker) sharesColdRate(u *state, now time.Time) bool {
	p.refreshEntries(now)
	if u.coldEntriesVersion == p.entriesVersion {
		return u.sharesColdRate
	}
	position, upstream := 0, string(u.upstream.ID)
	ownScore := assigner.RendezvousScore(upstream, p.config.Self.ID)
	for _, id := range p.entries {
		if id != p.config.Self.ID && assigner.RendezvousScore(upstream, id) > ownScore {
			position++
		}
	}
	u.sharesColdRate, u.coldEntriesVersion = position < coldEntryCount, p.entriesVersion
	return u.sharesColdRate
}

// refreshEntries reads the live entries unless they were read within coldEntryTTL. The list is shared by all upstreams
// in slow start, since building it for each of them would take most of a small instance's processor time.
func (p *Picker) refreshEntries(now time.Time) {
	if p.entriesVersion > 0 && now.Sub(p.entriesAt) < coldEntryTTL {
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
