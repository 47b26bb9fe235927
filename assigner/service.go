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

// handover says that the sender has dispatched to the site and does so no more.
type handover struct {
	_    struct{} `cbor:",toarray"`
	From eelgrassbeam.EntryID
	Site eelgrassbeam.Site
}

// handoverReply is not accepted while the receiver's view names another owner.
type handoverReply struct {
	_        struct{} `cbor:",toarray"`
	Accepted bool
}

type server interface {
	receive(ctx context.Context, message *handover) (*handoverReply, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: Service,
	HandlerType: (*server)(nil),
	Methods:     []grpc.MethodDesc{peer.Unary(Service, methodHandover, server.receive)},
}

// receive takes the site over.
func (a *Assigner) receive(_ context.Context, message *handover) (*handoverReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	fleet := a.config.Fleet.Fleet()
	a.observe(fleet, now)
	t := a.tenure(fleet, message.Site, now)
	if t.owner != a.config.Self.ID {
		return &handoverReply{}, nil
	}
	if _, ok := a.entitled(t, now); !ok {
		t.handedOver = now
	}
	a.logHandover(message.Site, message.From, a.config.Self.ID, "received")
	return &handoverReply{Accepted: true}, nil
}

type pendingHandover struct {
	site eelgrassbeam.Site
	to   eelgrassbeam.Entry
}

// step follows the newest view and sends the handovers that are due.
func (a *Assigner) step(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxHandovers)
	for _, due := range a.due() {
		group.Go(func() error {
			a.send(ctx, due)
			return nil
		})
	}
	_ = group.Wait()
}

// due returns the sites that are to be handed over and have no exchange left.
func (a *Assigner) due() []pendingHandover {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(a.config.Fleet.Fleet(), a.config.Clock.Now())
	var found []pendingHandover
	for site, t := range a.sites {
		if t.handover != nil && a.config.InProgress(site) == 0 {
			found = append(found, pendingHandover{site: site, to: *t.handover})
		}
	}
	return found
}

func (a *Assigner) send(ctx context.Context, due pendingHandover) {
	accepted, err := a.call(ctx, due)
	if err != nil {
		a.metrics.handovers.WithLabelValues("failed").Inc()
		a.config.Log.WithFields(logrus.Fields{"event": "handover_failed", "error": err}).Debug("")
	}
	a.finish(due, accepted)
}

// finish ends the handover once it is accepted, or once the new owner no longer waits for it.
func (a *Assigner) finish(due pendingHandover, accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.sites[due.site]
	if !ok || t.handover == nil || t.handover.ID != due.to.ID {
		return
	}
	hasSettled := !a.config.Clock.Now().Before(t.waitUntil)
	if accepted || hasSettled {
		t.handover = nil
	}
	if accepted {
		a.metrics.handovers.WithLabelValues("accepted").Inc()
		a.logHandover(due.site, a.config.Self.ID, due.to.ID, "sent")
	}
}

func (a *Assigner) call(ctx context.Context, due pendingHandover) (accepted bool, err error) {
	conn, err := a.config.Pool.Conn(due.to.PeerAddress)
	if err != nil {
		return false, handoverError(due.site, err)
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := peer.Call[handoverReply](ctx, conn, Service, methodHandover, &handover{From: a.config.Self.ID, Site: due.site})
	if err != nil {
		return false, handoverError(due.site, err)
	}
	return reply.Accepted, nil
}

func (a *Assigner) logHandover(site eelgrassbeam.Site, from, to eelgrassbeam.EntryID, how string) {
	a.config.Log.WithFields(logrus.Fields{
		"event": "handover", "site": site.String(), "from": string(from), "to": string(to), "how": how,
	}).Info("")
}
