package relayer

import (
	"context"
	"errors"

	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/configholder"
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

// stateSummary is the identity of an entry's configuration and its membership digest, which peers compare.
type stateSummary struct {
	_       struct{} `cbor:",toarray"`
	From    eelgrassbeam.EntryID
	InForce eelgrassbeam.ConfigurationID
	Members monitor.Digest
}

type pullRequest struct {
	_ struct{} `cbor:",toarray"`
	// InForce is the configuration in force on the sender, the base of a delta. Zero asks for a snapshot.
	InForce eelgrassbeam.ConfigurationID
}

type pullReply struct {
	Configuration *update `json:"configuration,omitempty"`
}

type server interface {
	handlePush(ctx context.Context, message *push) (*pushReply, error)
	handleCompare(ctx context.Context, remote *stateSummary) (*stateSummary, error)
	handlePull(ctx context.Context, request *pullRequest) (*pullReply, error)
	handleVersion(ctx context.Context, request *versionRequest) (*versionReply, error)
	handleZone(ctx context.Context, request *zoneRequest) (*zoneReply, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: Service,
	HandlerType: (*server)(nil),
	Methods: []grpc.MethodDesc{
		peer.UnaryMethod(Service, methodPush, server.handlePush),
		peer.UnaryMethod(Service, methodCompare, server.handleCompare),
		peer.UnaryMethod(Service, methodPull, server.handlePull),
		peer.UnaryMethod(Service, methodVersion, server.handleVersion),
		peer.UnaryMethod(Service, methodZone, server.handleZone),
	},
}

// handlePush queues the message. The reply confirms that the message arrived, not that it was applied.
func (r *Relayer) handlePush(_ context.Context, message *push) (*pushReply, error) {
	if err := message.Validate(); err != nil {
		return nil, err
	}
	if r.seen.add(treeID{root: message.Root, key: message.Key, scope: message.Scope}) {
		r.enqueue(func(ctx context.Context) { r.receive(ctx, *message) })
	}
	return &pushReply{}, nil
}

// receive applies the message and forwards it to this entry's children. It forwards known content as well: the
// children may lack what another tree has already delivered to this entry.
func (r *Relayer) receive(ctx context.Context, message push) {
	r.receiveUpdate(ctx, message.From, message.Configuration)
	r.receiveMembership(ctx, message)
	r.forward(ctx, message)
	if message.Scope == scopeFleet {
		message.Root, message.Scope = r.config.Self.ID, scopeZone
		r.forward(ctx, message)
	}
}

// receiveUpdate applies the update. If its delta does not apply here, it pulls the configuration from the sender.
func (r *Relayer) receiveUpdate(ctx context.Context, from eelgrassbeam.EntryID, received *update) {
	if received == nil || !r.mayLack(received.id()) {
		return
	}
	if err := r.apply(received); !errors.Is(err, errBaseMismatch) {
		return
	}
	r.metrics.snapshots.Inc()
	if sender, ok := r.config.Fleet.Fleet().Entry(from); ok {
		_ = r.pull(ctx, sender)
	}
}

func (r *Relayer) apply(received *update) error {
	if received.Snapshot != nil {
		return r.config.ConfigHolder.Offer(received.Snapshot.WithRevision(received.Revision), configholder.SourcePeer)
	}
	base, ok := r.config.ConfigHolder.Configuration()
	if !ok || received.Delta == nil {
		return errBaseMismatch
	}
	next, err := received.Delta.apply(base, received.Revision)
	if err != nil {
		return err
	}
	return r.config.ConfigHolder.Offer(next, configholder.SourcePeer)
}

// receiveMembership merges membership changes. If their delta does not apply here, it pulls the view from the sender.
func (r *Relayer) receiveMembership(ctx context.Context, message push) {
	if message.Membership == nil || r.config.Members == nil {
		return
	}
	_, err := r.config.Members.Merge(*message.Membership)
	sender, ok := r.config.Fleet.Fleet().Entry(message.From)
	if ok && errors.Is(err, monitor.ErrDeltaMismatch) {
		_ = r.config.Members.Pull(ctx, sender.PeerAddress)
	}
}

func (r *Relayer) handlePull(_ context.Context, request *pullRequest) (*pullReply, error) {
	return &pullReply{Configuration: r.history.latest(request.InForce)}, nil
}

// pull fetches and applies the peer's configuration if it supersedes the one in force. If a delta does not apply, it fetches a snapshot.
func (r *Relayer) pull(ctx context.Context, from eelgrassbeam.Entry) error {
	reply, err := call[pullReply](ctx, r, from, methodPull, &pullRequest{InForce: r.inForce()})
	if err != nil || reply.Configuration == nil {
		return err
	}
	if err = r.apply(reply.Configuration); errors.Is(err, errBaseMismatch) {
		reply, err = call[pullReply](ctx, r, from, methodPull, &pullRequest{})
		if err == nil && reply.Configuration != nil {
			err = r.apply(reply.Configuration)
		}
	}
	return err
}

// membershipLoop spreads the membership changes that this entry has detected to all zones.
func (r *Relayer) membershipLoop(ctx context.Context) {
	if r.config.Members == nil {
		return
	}
	for {
		select {
		case <-r.config.Members.ChangesReady():
		case <-ctx.Done():
			return
		}
		changes := r.config.Members.TakeChanges()
		if changes.IsEmpty() {
			continue
		}
		key := r.treeKeys.Add(1)
		for _, treeScope := range []scope{scopeFleet, scopeZone} {
			message := push{From: r.config.Self.ID, Root: r.config.Self.ID, Key: key, Scope: treeScope, Membership: &changes}
			r.enqueue(func(ctx context.Context) { r.forward(ctx, message) })
		}
	}
}
