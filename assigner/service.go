package assigner

import (
	"context"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// Service is the gRPC service name of the assigner.
	Service = "eelgrassbeam.assigner"

	methodHandover = "Handover"
	maxHandovers   = 16
)

// handover states that the sender was the site's dispatcher and has stopped dispatching to it.
type handover struct {
	_    struct{} `cbor:",toarray"`
	From eelgrassbeam.EntryID
	Site eelgrassbeam.Site
}

// handoverReply has Accepted false while another entry owns the site in the receiver's fleet snapshot.
type handoverReply struct {
	_        struct{} `cbor:",toarray"`
	Accepted bool
}

type server interface {
	handleHandover(ctx context.Context, message *handover) (*handoverReply, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: Service,
	HandlerType: (*server)(nil),
	Methods:     []grpc.MethodDesc{peer.UnaryMethod(Service, methodHandover, server.handleHandover)},
}

// handleHandover records that the site was handed over to this entry, if this entry is its owner.
func (a *Assigner) handleHandover(_ context.Context, message *handover) (*handoverReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	fleet := a.config.Fleet.Fleet()
	a.applyFleet(fleet, now)
	state := a.stateFor(fleet, message.Site, now)
	if state.owner != a.config.Self.ID {
		return &handoverReply{}, nil
	}
	if _, ok := a.canDispatch(state, now); !ok {
		state.handedOverAt = now
	}
	a.logHandover(message.Site, message.From, a.config.Self.ID, "received")
	return &handoverReply{Accepted: true}, nil
}

type pendingHandover struct {
	site eelgrassbeam.Site
	to   eelgrassbeam.Entry
}

// runOnce applies the latest fleet snapshot and sends the handovers that are due.
func (a *Assigner) runOnce(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxHandovers)
	for _, pending := range a.dueHandovers() {
		group.Go(func() error {
			a.sendHandover(ctx, pending)
			return nil
		})
	}
	_ = group.Wait()
}

// dueHandovers returns the sites to hand over that have no exchange in progress.
func (a *Assigner) dueHandovers() []pendingHandover {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyFleet(a.config.Fleet.Fleet(), a.config.Clock.Now())
	var found []pendingHandover
	for site, state := range a.sites {
		if state.handoverTo != nil && a.config.InProgress(site) == 0 {
			found = append(found, pendingHandover{site: site, to: *state.handoverTo})
		}
	}
	return found
}

func (a *Assigner) sendHandover(ctx context.Context, pending pendingHandover) {
	accepted, err := a.callHandover(ctx, pending)
	if err != nil {
		a.metrics.handovers.WithLabelValues("failed").Inc()
		a.config.Log.WithFields(logrus.Fields{"event": "handover_failed", "error": err}).Debug("")
	}
	a.completeHandover(pending, accepted)
}

// completeHandover clears the handover if it was accepted, or if the new owner no longer has to wait for it because
// the earlier terms have expired.
func (a *Assigner) completeHandover(pending pendingHandover, accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, ok := a.sites[pending.site]
	if !ok || state.handoverTo == nil || state.handoverTo.ID != pending.to.ID {
		return
	}
	termsExpired := !a.config.Clock.Now().Before(state.termsExpireAt)
	if accepted || termsExpired {
		state.handoverTo = nil
	}
	if accepted {
		a.metrics.handovers.WithLabelValues("accepted").Inc()
		a.logHandover(pending.site, a.config.Self.ID, pending.to.ID, "sent")
	}
}

func (a *Assigner) callHandover(ctx context.Context, pending pendingHandover) (accepted bool, err error) {
	conn, err := a.config.Pool.Conn(pending.to.PeerAddress)
	if err != nil {
		return false, handoverError(pending.site, err)
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := peer.Call[handoverReply](ctx, conn, Service, methodHandover, &handover{From: a.config.Self.ID, Site: pending.site})
	if err != nil {
		return false, handoverError(pending.site, err)
	}
	return reply.Accepted, nil
}

func (a *Assigner) logHandover(site eelgrassbeam.Site, from, to eelgrassbeam.EntryID, direction string) {
	a.config.Log.WithFields(logrus.Fields{
		"event": "handover", "site": site.String(), "from": string(from), "to": string(to), "how": direction,
	}).Info("")
}
