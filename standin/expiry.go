package standin

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// expiry records the last write of each upstream's registration, by name. The caller synchronizes access.
type expiry struct {
	ttl       time.Duration
	lastWrite map[string]time.Time
}

// isHeartbeat reports whether a write changes at most the sequence of an upstream's registration. Such a write renews
// the registration but does not count as a change.
func isHeartbeat(kind string, previous, next []byte) bool {
	return kind == platform.KindUpstreams && bytes.Equal(withoutSequence(previous), withoutSequence(next))
}

func withoutSequence(value []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil {
		return value // not a JSON object, so not a registration
	}
	delete(fields, "sequence")
	out, err := json.Marshal(fields)
	if err != nil {
		return value
	}
	return out
}

// sweep removes registrations that were not written within the TTL and reports whether it removed any. The caller
// holds mu.
func (p *Platform) sweep() bool {
	if p.expiry.ttl == 0 {
		return false
	}
	removed := false
	now := p.clock.Now()
	for _, object := range p.objects.list(platform.KindUpstreams).Objects {
		if now.Sub(p.expiry.lastWrite[object.Name]) > p.expiry.ttl {
			// The delete cannot fail: mu is held, so the listed version is the current one.
			_, _ = p.objects.delete(objectKey{kind: platform.KindUpstreams, name: object.Name}, object.Version)
			removed = true
		}
	}
	return removed
}

// nextSweep returns a channel that fires when the next sweep is due, or nil if registrations do not expire.
func (p *Platform) nextSweep() <-chan time.Time {
	if p.expiry.ttl == 0 {
		return nil
	}
	return p.clock.After(sweepInterval)
}

// recordWrite records the time of the write if the object is an upstream's registration. The caller holds mu.
func (p *Platform) recordWrite(object eelgrassbeam.Object) {
	if object.Kind == platform.KindUpstreams {
		p.expiry.lastWrite[object.Name] = p.clock.Now()
	}
}
