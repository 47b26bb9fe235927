package relayer

import (
	"context"
	"errors"

	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/holder"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// Service is the gRPC service name of the relayer.
	Service = "eelgrassbeam.relayer"

	methodPush    = "Push"
	methodCompare = "Compare"
	methodPull    = "Pull"
	methodVersion = "Version"
	methodZone    = "Zone"
)

type pushReply struct {
	_ struct{} `cbor:",toarray"`
}

// comparison sums up what an entry holds.
type comparison struct {
	_       struct{} `cbor:",toarray"`
	From    eelgrassbeam.EntryID
	Version uint64
	Members monitor.Digest
}

type pullRequest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

type pullReply struct {
	Configuration *update `json:"configuration,omitempty"`
}

type server interface {
	pushed(ctx context.Context, message *push) (*pushReply, error)
	compared(ctx context.Context, theirs *comparison) (*comparison, error)
	pulled(ctx context.Context, request *pullRequest) (*pullReply, error)
	askedVersion(ctx context.Context, request *versionRequest) (*versionReply, error)
	askedZone(ctx context.Context, request *zoneRequest) (*zoneReply, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: Service,
	HandlerType: (*server)(nil),
	Methods: []grpc.MethodDesc{
		peer.Unary(Service, methodPush, server.pushed),
		peer.Unary(Service, methodCompare, server.compared),
		peer.Unary(Service, methodPull, server.pulled),
		peer.Unary(Service, methodVersion, server.askedVersion),
		peer.Unary(Service, methodZone, server.askedZone),
	},
}

// pushed queues the news; the answer tells that it has come, not that it is taken over.
func (r *Relayer) pushed(_ context.Context, message *push) (*pushReply, error) {
	if err := message.Validate(); err != nil {
		return nil, err
	}
	if r.seen.add(treeID{root: message.Root, key: message.Key, scope: message.Scope}) {
		r.enqueue(func(ctx context.Context) { r.take(ctx, *message) })
	}
	return &pushReply{}, nil
}

// take takes the news over and sends it to this entry's children. They may lack what another tree has brought here before.
func (r *Relayer) take(ctx context.Context, message push) {
	r.takeUpdate(ctx, message.From, message.Configuration)
	r.takeNews(ctx, message)
	r.forward(ctx, message)
	if message.Scope == scopeFleet {
		message.Root, message.Scope = r.config.Self.ID, scopeZone
		r.forward(ctx, message)
	}
}

// takeUpdate applies the update, by a pull from the sender where it does not fit.
func (r *Relayer) takeUpdate(ctx context.Context, from eelgrassbeam.EntryID, received *update) {
	if version, _ := r.config.Holder.InForce(); received == nil || received.Version <= version {
		return
	}
	if err := r.apply(received); !errors.Is(err, errOtherBase) {
		return
	}
	r.metrics.snapshots.Inc()
	if sender, ok := r.config.Fleet.Fleet().Entry(from); ok {
		_ = r.pull(ctx, sender)
	}
}

func (r *Relayer) apply(received *update) error {
	if received.Whole != nil {
		return r.config.Holder.Offer(received.Whole.WithVersion(received.Version), holder.SourcePeer)
	}
	base, ok := r.config.Holder.Configuration()
	if !ok || received.Delta == nil {
		return errOtherBase
	}
	next, err := received.Delta.apply(base, received.Version)
	if err != nil {
		return err
	}
	return r.config.Holder.Offer(next, holder.SourcePeer)
}

// takeNews merges news about the fleet, by a pull from the sender where they do not fit.
func (r *Relayer) takeNews(ctx context.Context, message push) {
	if message.News == nil || r.config.Members == nil {
		return
	}
	_, err := r.config.Members.Merge(*message.News)
	sender, ok := r.config.Fleet.Fleet().Entry(message.From)
	if ok && errors.Is(err, monitor.ErrOtherBase) {
		_ = r.config.Members.Pull(ctx, sender.PeerAddress)
	}
}

func (r *Relayer) pulled(_ context.Context, request *pullRequest) (*pullReply, error) {
	return &pullReply{Configuration: r.history.newest(request.Version)}, nil
}

// pull takes over the peer's configuration if it is newer.
func (r *Relayer) pull(ctx context.Context, from eelgrassbeam.Entry) error {
	version, _ := r.config.Holder.InForce()
	reply, err := call[pullReply](ctx, r, from, methodPull, &pullRequest{Version: version})
	if err != nil || reply.Configuration == nil {
		return err
	}
	if err = r.apply(reply.Configuration); errors.Is(err, errOtherBase) {
		reply, err = call[pullReply](ctx, r, from, methodPull, &pullRequest{})
		if err == nil && reply.Configuration != nil {
			err = r.apply(reply.Configuration)
		}
	}
	return err
}

// spreadNews sends what this entry found about the fleet to all zones.
func (r *Relayer) spreadNews(ctx context.Context) {
	if r.config.Members == nil {
		return
	}
	for {
		select {
		case <-r.config.Members.NewsReady():
		case <-ctx.Done():
			return
		}
		news := r.config.Members.TakeNews()
		if news.IsEmpty() {
			continue
		}
		key := r.keys.Add(1)
		for _, reach := range []scope{scopeFleet, scopeZone} {
			message := push{From: r.config.Self.ID, Root: r.config.Self.ID, Key: key, Scope: reach, News: &news}
			r.enqueue(func(ctx context.Context) { r.forward(ctx, message) })
		}
	}
}
