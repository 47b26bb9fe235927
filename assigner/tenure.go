package assigner

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// tenure is what this entry knows about who dispatches to one site.
type tenure struct {
	owner eelgrassbeam.EntryID
	// waitUntil is when the terms of all earlier owners have surely run out.
	waitUntil time.Time
	// handedOver is when the last dispatcher handed the site over to the owner; zero if it has not.
	handedOver time.Time
	// handover is to whom this entry must still hand the site over; nil for nobody.
	handover *eelgrassbeam.Entry
}

// change makes another entry the owner. A failed owner's term has run out already; any other gets the time to settle.
func (t *tenure) change(owner eelgrassbeam.EntryID, now time.Time, hasFailed bool, settle time.Duration) {
	t.owner, t.handedOver, t.handover = owner, time.Time{}, nil
	if !hasFailed {
		t.waitUntil = now.Add(settle)
	}
}

// ready returns from when the owner may dispatch. After a gap in its own term it waits as long as for another
// owner, since the site may have been taken over meanwhile.
func (t *tenure) ready(heldSince time.Time, settle time.Duration) time.Time {
	ready := t.waitUntil
	if !t.handedOver.IsZero() {
		ready = t.handedOver
	}
	afterGap := heldSince.Add(settle)
	if !t.handedOver.IsZero() && !t.handedOver.Before(heldSince) || afterGap.Before(ready) {
		return ready
	}
	return afterGap
}
