package deduplicator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// recallTimeout limits the duration of the call to a previous home.
const recallTimeout = 500 * time.Millisecond

// RecallResponse is a previous home's response to a Recall call.
type RecallResponse struct {
	// Reply is nil if the home has no reply for the request.
	Reply *eelgrassbeam.Reply `json:"reply,omitempty"`
}

// Recall returns the recorded reply to the request's key, or an in-progress reply while the request is running. It
// never runs the request.
func (d *Deduplicator) Recall(request eelgrassbeam.Request) RecallResponse {
	found, ok := d.table.lookup(scopedKeyOf(request))
	if !ok || found.fingerprint != fingerprintOf(request) {
		return RecallResponse{}
	}
	if found.state == stateDone && (found.reply == nil || found.hasNotRun()) {
		return RecallResponse{}
	}
	reply := d.answerRepeat(request, found, found.fingerprint)
	return RecallResponse{Reply: &reply}
}

// previousHome returns the home that claimed the key before this one.
func (d *Deduplicator) previousHome(request eelgrassbeam.Request) (eelgrassbeam.EntryID, bool) {
	found, ok := d.table.lookup(scopedKeyOf(request))
	return found.otherHome, ok && found.otherHome != "" && found.fingerprint == fingerprintOf(request)
}

// recall asks the home that claimed the key for its reply, if that home is still in the fleet.
func (r *Router) recall(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, bool) {
	id, ok := r.config.Deduplicator.previousHome(request)
	if !ok || id == r.config.Self.ID {
		return eelgrassbeam.Reply{}, false
	}
	home, ok := r.config.Fleet.Fleet().Entry(id)
	if !ok {
		return eelgrassbeam.Reply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	recalled, err := r.config.Remote.Recall(ctx, home, request)
	if err == nil && recalled.Reply != nil {
		err = recalled.Reply.Validate(request.ID)
	}
	r.config.Log.WithFields(logrus.Fields{
		"event": "key_recalled", "request": request.ID, "home": home.ID, "found": recalled.Reply != nil, "error": err,
	}).Info("")
	if err != nil || recalled.Reply == nil {
		return eelgrassbeam.Reply{}, false
	}
	return *recalled.Reply, true
}
