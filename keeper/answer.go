package keeper

import (
	"context"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// HeaderReplayed is the response header that is set to "true" on a reply replayed for a repeated idempotency key.
const HeaderReplayed = "X-Eelgrassbeam-Replayed"

const headerRequestID = "X-Request-Id"

// refuseUnclaimed returns the reply to a request whose key could not be claimed. The outcome is unknown, since the
// request may have run at another home, unless the key belongs to a different request.
func (k *Keeper) refuseUnclaimed(ctx context.Context, request eelgrassbeam.Request, key scopedKey, err error) eelgrassbeam.Reply {
	var claimed *ClaimedError
	if errors.As(err, &claimed) {
		k.table.markClaimedElsewhere(key, claimed.Home)
		return k.refuse(request, eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown))
	}
	k.table.remove(key)
	if errors.Is(err, ErrReused) {
		return k.refuse(request, eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonKeyReused))
	}
	reply := eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown)
	if ctx.Err() == nil {
		reply = reply.WithRetryAfter(eelgrassbeam.Duration{Duration: retryAfter})
	}
	return k.refuse(request, reply)
}

// answerRepeat returns the reply to a request whose key is already recorded at this home.
func (k *Keeper) answerRepeat(request eelgrassbeam.Request, found record, fingerprint uint64) eelgrassbeam.Reply {
	switch {
	case found.fingerprint != fingerprint:
		return k.refuse(request, eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonKeyReused))
	case found.state != stateDone:
		reply := eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonInProgress)
		return k.refuse(request, reply.WithRetryAfter(eelgrassbeam.Duration{Duration: retryAfter}))
	case found.reply == nil:
		return k.refuse(request, eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown))
	default:
		k.metrics.repeats.WithLabelValues("replayed").Inc()
		return replayedReply(*found.reply, request.ID)
	}
}

// replayedReply returns a copy of the recorded reply that carries the request ID of the repeat.
func replayedReply(reply eelgrassbeam.Reply, id eelgrassbeam.RequestID) eelgrassbeam.Reply {
	reply.RequestID = id
	reply.Header = reply.Header.Clone()
	if reply.Header == nil {
		reply.Header = make(http.Header)
	}
	if reply.Header.Get(headerRequestID) != "" {
		reply.Header.Set(headerRequestID, string(id))
	}
	reply.Header.Set(HeaderReplayed, "true")
	return reply
}

func (k *Keeper) refuse(request eelgrassbeam.Request, reply eelgrassbeam.Reply) eelgrassbeam.Reply {
	k.metrics.repeats.WithLabelValues(string(reply.Reason)).Inc()
	k.config.Log.WithFields(logrus.Fields{
		"event": "decision", "kind": "idempotency_key", "request": request.ID, "key": request.IdempotencyKey,
		"choice": reply.Outcome, "reason": reply.Reason,
	}).Info("")
	return reply
}
