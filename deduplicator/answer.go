package deduplicator

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
func (d *Deduplicator) refuseUnclaimed(ctx context.Context, request eelgrassbeam.Request, key scopedKey, err error) eelgrassbeam.Reply {
	var claimed *ClaimedError
	if errors.As(err, &claimed) {
		d.table.markClaimedElsewhere(key, claimed.Home)
		return d.refuse(request, eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown))
	}
	d.table.remove(key)
	if errors.Is(err, ErrReused) {
		return d.refuse(request, eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonKeyReused))
	}
	reply := eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown)
	if ctx.Err() == nil {
		reply = reply.WithRetryAfter(eelgrassbeam.Duration{Duration: retryAfter})
	}
	return d.refuse(request, reply)
}

// answerRepeat returns the reply to a request whose key is already recorded at this home.
func (d *Deduplicator) answerRepeat(request eelgrassbeam.Request, found record, fingerprint uint64) eelgrassbeam.Reply {
	switch {
	case found.fingerprint != fingerprint:
		return d.refuse(request, eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonKeyReused))
	case found.state != stateDone:
		reply := eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonInProgress)
		return d.refuse(request, reply.WithRetryAfter(eelgrassbeam.Duration{Duration: retryAfter}))
	case found.reply == nil:
		return d.refuse(request, eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown))
	default:
		d.metrics.repeats.WithLabelValues("replayed").Inc()
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

func (d *Deduplicator) refuse(request eelgrassbeam.Request, reply eelgrassbeam.Reply) eelgrassbeam.Reply {
	d.metrics.repeats.WithLabelValues(string(reply.Reason)).Inc()
	d.config.Log.WithFields(logrus.Fields{
		"event": "decision", "kind": "idempotency_key", "request": request.ID, "key": request.IdempotencyKey,
		"choice": reply.Outcome, "reason": reply.Reason,
	}).Info("")
	return reply
}
