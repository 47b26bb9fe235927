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
	// maxCredits bounds the credits of one grant.
	maxCredits = 256
)

// Question asks a site's dispatcher for credits.
type Question struct {
	Site   eelgrassbeam.Site     `json:"site"`
	Origin eelgrassbeam.EntryID  `json:"origin"`
	Region eelgrassbeam.RegionID `json:"region"`
	// Credits is the number of requests that the asker would shift.
	Credits int `json:"credits"`
}

// Validate checks what the receiver relies on.
func (q Question) Validate() error {
	switch {
	case q.Site.Service == "" || q.Site.Zone == "":
		return fmt.Errorf("%w: question has no site", eelgrassbeam.ErrInvalid)
	case q.Origin == "" || q.Region == "":
		return fmt.Errorf("%w: question has no origin", eelgrassbeam.ErrInvalid)
	case q.Credits < 1 || q.Credits > maxCredits:
		return fmt.Errorf("%w: question for %d credits: want 1 to %d", eelgrassbeam.ErrInvalid, q.Credits, maxCredits)
	default:
		return nil
	}
}

// Answer gives credits under a grant.
type Answer struct {
	// Grant is 0 where nothing is given.
	Grant   uint64 `json:"grant"`
	Credits int    `json:"credits"`
	// Term is how long the credits may be used, from the time of asking.
	Term eelgrassbeam.Duration `json:"term"`
	// Load is the site's load at its dispatcher.
	Load eelgrassbeam.SiteLoad `json:"load,omitzero"`
}

// Validate checks that the answer fits the question.
func (a Answer) Validate(q Question) error {
	if a.Credits < 0 || a.Credits > q.Credits || a.Credits > 0 && a.Grant == 0 || a.Term.Duration > Term {
		return fmt.Errorf("%w: answer of %d credits for %s", eelgrassbeam.ErrInvalid, a.Credits, a.Term)
	}
	return nil
}

type server interface {
	Ask(ctx context.Context, question *Question) (*Answer, error)
}

// Register lets other entries ask the granter.
func Register(registrar grpc.ServiceRegistrar, g *Granter) {
	registrar.RegisterService(&grpc.ServiceDesc{
		ServiceName: Service,
		HandlerType: (*server)(nil),
		Methods:     []grpc.MethodDesc{peer.Unary(Service, methodAsk, server.Ask)},
	}, g)
}

// Peers asks other entries over gRPC.
type Peers struct{ pool *peer.Pool }

// NewPeers returns an Asker over the pool.
func NewPeers(pool *peer.Pool) Peers { return Peers{pool: pool} }

// Ask implements Asker.
func (p Peers) Ask(ctx context.Context, to eelgrassbeam.Entry, question Question) (Answer, error) {
	conn, err := p.pool.Conn(to.PeerAddress)
	if err != nil {
		return Answer{}, askError(to.ID, err)
	}
	answer, err := peer.Call[Answer](ctx, conn, Service, methodAsk, &question)
	if err != nil {
		return Answer{}, askError(to.ID, err)
	}
	return *answer, nil
}

func askError(to eelgrassbeam.EntryID, err error) error {
	return fmt.Errorf("ask %s for credits: %w: %w", to, eelgrassbeam.ErrUnavailable, err)
}
