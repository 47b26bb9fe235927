package quotalimiter

import (
	"context"
	"fmt"

	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// Service is the gRPC service name of the keeper.
	Service = "eelgrassbeam.quotalimiter"

	methodReport = "Report"
	// maxCount bounds a count of requests in a report.
	maxCount = 1 << 24
)

// Validate checks that the report names its sender and that its counts are possible.
func (r Report) Validate() error {
	if r.From == "" {
		return fmt.Errorf("%w: quota report has no sender", eelgrassbeam.ErrInvalid)
	}
	for _, usage := range r.Usages {
		if usage.Team == "" || usage.Admitted < 0 || usage.Admitted > usage.Arrived || usage.Arrived > maxCount {
			return fmt.Errorf("%w: quota report of %s: usage %+v", eelgrassbeam.ErrInvalid, r.From, usage)
		}
	}
	return nil
}

type server interface {
	handleReport(ctx context.Context, report *Report) (*Answer, error)
}

func (q *QuotaLimiter) handleReport(_ context.Context, report *Report) (*Answer, error) {
	if err := report.Validate(); err != nil {
		return nil, err
	}
	answer := q.Keep(*report)
	return &answer, nil
}

// Register registers the gRPC service through which other entries report.
func Register(registrar grpc.ServiceRegistrar, q *QuotaLimiter) {
	registrar.RegisterService(&grpc.ServiceDesc{
		ServiceName: Service,
		HandlerType: (*server)(nil),
		Methods:     []grpc.MethodDesc{peer.UnaryMethod(Service, methodReport, server.handleReport)},
	}, q)
}

// PeerReporter implements Reporter over gRPC.
type PeerReporter struct{ pool *peer.Pool }

// NewPeerReporter returns a PeerReporter that uses the connections of the pool.
func NewPeerReporter(pool *peer.Pool) PeerReporter { return PeerReporter{pool: pool} }

// Report implements Reporter.
func (p PeerReporter) Report(ctx context.Context, to eelgrassbeam.Entry, report Report) (Answer, error) {
	answer, err := peer.CallEntry[Answer](ctx, p.pool, to, Service, methodReport, &report)
	if err != nil {
		return Answer{}, fmt.Errorf("report to %s: %w: %w", to.ID, eelgrassbeam.ErrUnavailable, err)
	}
	return answer, nil
}
