package granter

import (
	"context"
	"fmt"

	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// Service is the gRPC service name of the granter.
	Service = "eelgrassbeam.granter"

	methodAsk = "Ask"
	// maxCredits is the maximum number of credits in one grant.
	maxCredits = 256
)

// CreditRequest is a credit request to a site's dispatcher.
type CreditRequest struct {
	Site   eelgrassbeam.Site     `json:"site"`
	Origin eelgrassbeam.EntryID  `json:"origin"`
	Region eelgrassbeam.RegionID `json:"region"`
	// Credits is the number of credits wanted: the requests that the asking entry would send, 1 to maxCredits.
	Credits int `json:"credits"`
}

// Validate checks that the site, the origin and the number of credits are set and within bounds.
func (q CreditRequest) Validate() error {
	switch {
	case q.Site.Service == "" || q.Site.Zone == "":
		return fmt.Errorf("%w: credit request has no site", eelgrassbeam.ErrInvalid)
	case q.Origin == "" || q.Region == "":
		return fmt.Errorf("%w: credit request has no origin entry or region", eelgrassbeam.ErrInvalid)
	case q.Credits < 1 || q.Credits > maxCredits:
		return fmt.Errorf("%w: credit request for %d credits: want 1 to %d", eelgrassbeam.ErrInvalid, q.Credits, maxCredits)
	default:
		return nil
	}
}

// CreditReply is the reply to a credit request.
type CreditReply struct {
	// Grant is the id of the grant; 0 if no credits are granted.
	Grant   uint64 `json:"grant"`
	Credits int    `json:"credits"`
	// Term is how long the credits may be used, counted from the time of the credit request.
	Term eelgrassbeam.Duration `json:"term"`
	// Load is the site's current load at its dispatcher.
	Load eelgrassbeam.SiteLoad `json:"load,omitzero"`
}

// Validate checks that the reply grants no more credits, and for no longer, than the credit request allows.
func (a CreditReply) Validate(q CreditRequest) error {
	if a.Credits < 0 || a.Credits > q.Credits || a.Credits > 0 && a.Grant == 0 || a.Term.Duration > GrantTerm {
		return fmt.Errorf("%w: credit reply grants %d credits for %s: more or longer than requested, or without a grant id", eelgrassbeam.ErrInvalid, a.Credits, a.Term)
	}
	return nil
}

type server interface {
	Ask(ctx context.Context, request *CreditRequest) (*CreditReply, error)
}

// Register registers the gRPC service through which other entries ask the Granter for credits.
func Register(registrar grpc.ServiceRegistrar, g *Granter) {
	registrar.RegisterService(&grpc.ServiceDesc{
		ServiceName: Service,
		HandlerType: (*server)(nil),
		Methods:     []grpc.MethodDesc{peer.UnaryMethod(Service, methodAsk, server.Ask)},
	}, g)
}

// PeerClient implements Asker over gRPC.
type PeerClient struct{ pool *peer.Pool }

// NewPeerClient returns a PeerClient that uses the connections of the pool.
func NewPeerClient(pool *peer.Pool) PeerClient { return PeerClient{pool: pool} }

// Ask implements Asker.
func (p PeerClient) Ask(ctx context.Context, to eelgrassbeam.Entry, request CreditRequest) (CreditReply, error) {
	reply, err := peer.CallEntry[CreditReply](ctx, p.pool, to, Service, methodAsk, &request)
	if err != nil {
		return CreditReply{}, askError(to.ID, err)
	}
	return reply, nil
}

func askError(to eelgrassbeam.EntryID, err error) error {
	return fmt.Errorf("ask %s for credits: %w: %w", to, eelgrassbeam.ErrUnavailable, err)
}
