package keeper

import (
	"context"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// HeaderReplayed is "true" on the recorded answer to a repeated key.
const HeaderReplayed = "X-Eelgrassbeam-Replayed"

const headerRequestID = "X-Request-Id"

// unclaimed refuses a request whose key may have run elsewhere.
func (k *Keeper) unclaimed(ctx context.Context, request eelgrassbeam.Request, key scope, err error) eelgrassbeam.Reply {
	var claimed *ClaimedError
	if errors.As(err, &claimed) {
		k.table.cede(key, claimed.Home)
		return k.refused(request, eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown))
	}
	k.table.forget(key)
	if errors.Is(err, ErrReused) {
		return k.refused(request, eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonKeyReused))
	}
	reply := eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown)
	if ctx.Err() == nil {
		reply = reply.WithRetryAfter(eelgrassbeam.Duration{Duration: retryAfter})
	}
	return k.refused(request, reply)
}

// repeated answers a key that this home has seen before.
func (k *Keeper) repeated(request eelgrassbeam.Request, found record, fingerprint uint64) eelgrassbeam.Reply {
	switch {
	case found.fingerprint != fingerprint:
		return k.refused(request, eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonKeyReused))
	case found.state != stateDone:
		reply := eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonInProgress)
		return k.refused(request, reply.WithRetryAfter(eelgrassbeam.Duration{Duration: retryAfter}))
	case found.reply == nil:
		return k.refused(request, eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonKeyUnknown))
	default:
		k.metrics.keyed.WithLabelValues("replayed").Inc()
		return replay(*found.reply, request.ID)
	}
}

// replay returns the recorded answer under the repeat's own request id.
func replay(reply eelgrassbeam.Reply, id eelgrassbeam.RequestID) eelgrassbeam.Reply {
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

func (k *Keeper) refused(request eelgrassbeam.Request, reply eelgrassbeam.Reply) eelgrassbeam.Reply {
	k.metrics.keyed.WithLabelValues(string(reply.Reason)).Inc()
	k.config.Log.WithFields(logrus.Fields{
		"event": "decision", "kind": "idempotency_key", "request": request.ID, "key": request.IdempotencyKey,
		"choice": reply.Outcome, "reason": reply.Reason,
	}).Info("")
	return reply
}
