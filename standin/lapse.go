package standin

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// lapses tells when the entries of upstreams were written last. Its user holds a lock around each call.
type lapses struct {
	after   time.Duration
	written map[string]time.Time
}

// isHeartbeat tells whether an upstream's entry differs from the one before in its sequence alone, which is no change.
func isHeartbeat(kind string, before, next []byte) bool {
	return kind == platform.KindUpstreams && bytes.Equal(withoutSequence(before), withoutSequence(next))
}

func withoutSequence(value []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil {
		return value // not an entry that an upstream wrote
	}
	delete(fields, "sequence")
	out, err := json.Marshal(fields)
	if err != nil {
		return value
	}
	return out
}

// sweep removes entries that weren't written for as long as the platform waits, and tells whether there were some.
func (p *Platform) sweep() bool {
	if p.lapses.after == 0 {
		return false
	}
	removed := false
	now := p.clock.Now()
	for _, object := range p.objects.list(platform.KindUpstreams).Objects {
		if now.Sub(p.lapses.written[object.Name]) > p.lapses.after {
			// An object that is listed has the version that it is listed with.
			_, _ = p.objects.delete(objectKey{kind: platform.KindUpstreams, name: object.Name}, object.Version)
			removed = true
		}
	}
	return removed
}

// nextSweep delivers when it is time to look for lapsed entries; never where none lapses.
func (p *Platform) nextSweep() <-chan time.Time {
	if p.lapses.after == 0 {
		return nil
	}
	return p.clock.After(sweepInterval)
}

// noteWritten notes the write of an upstream's entry.
func (p *Platform) noteWritten(object eelgrassbeam.Object) {
	if object.Kind == platform.KindUpstreams {
		p.lapses.written[object.Name] = p.clock.Now()
	}
}
