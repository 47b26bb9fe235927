package keeper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// recallTimeout bounds the question to an earlier home.
const recallTimeout = 500 * time.Millisecond

// Recalled is what an earlier home knows about a key.
type Recalled struct {
	// Reply is nil where it knows no answer.
	Reply *eelgrassbeam.Reply `json:"reply,omitempty"`
}

// Recall returns the recorded answer to an earlier request under the key, or
// that it still runs; it runs nothing.
func (k *Keeper) Recall(request eelgrassbeam.Request) Recalled {
	found, ok := k.table.find(scopeOf(request))
	if !ok || found.fingerprint != fingerprintOf(request) {
		return Recalled{}
	}
	if found.state == stateDone && (found.reply == nil || found.hasNotRun()) {
		return Recalled{}
	}
	reply := k.repeated(request, found, found.fingerprint)
	return Recalled{Reply: &reply}
}

// earlierHome returns the home that claimed the key before this one.
func (k *Keeper) earlierHome(request eelgrassbeam.Request) (eelgrassbeam.EntryID, bool) {
	found, ok := k.table.find(scopeOf(request))
	return found.home, ok && found.home != "" && found.fingerprint == fingerprintOf(request)
}

// recall asks the home that claimed the key, if it is still there, for its answer.
func (r *Router) recall(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, bool) {
	id, ok := r.config.Keeper.earlierHome(request)
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
