package gossiper

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	operationPull = "pull"
	operationPush = "push"

	resultOK      = "ok"
	resultTimeout = "timeout"
	resultFailed  = "failed"
)

type metrics struct {
	transfers    *prometheus.CounterVec
	durations    *prometheus.HistogramVec
	routingBytes *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) metrics {
	factory := promauto.With(registerer)
	return metrics{
		transfers: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_gossip_transfers_total", Help: "Transfers of state started by this entry, by operation and result.",
		}, []string{"operation", "result"}),
		durations: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassbeam_gossip_transfer_seconds", Help: "Duration of transfers of state by operation.",
			Buckets: []float64{0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10},
		}, []string{"operation"}),
		routingBytes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_gossip_routing_bytes_total", Help: "Bytes of configurations in transfers started by this entry, by operation and result.",
		}, []string{"operation", "result"}),
	}
}

// transferResult returns the label of a transfer's result.
func transferResult(err error) string {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, context.DeadlineExceeded), status.Code(err) == codes.DeadlineExceeded:
		return resultTimeout
	default:
		return resultFailed
	}
}

// recordTransfer records a transfer of state that includes the given bytes of configuration.
func (g *Gossiper) recordTransfer(operation string, started time.Time, routingBytes int, err error) {
	result := transferResult(err)
	g.metrics.transfers.WithLabelValues(operation, result).Inc()
	g.metrics.durations.WithLabelValues(operation).Observe(g.config.Clock.Now().Sub(started).Seconds())
	g.metrics.routingBytes.WithLabelValues(operation, result).Add(float64(routingBytes))
}
