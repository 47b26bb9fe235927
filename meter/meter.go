// Package meter counts the bytes sent and received on connections.
package meter

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Config configures a Meter.
type Config struct {
	Registerer prometheus.Registerer
}

// Meter counts the bytes of control traffic on connections that this process opens, by the kind of peer.
type Meter struct{ bytes *prometheus.CounterVec }

// New returns a Meter.
func New(config Config) *Meter {
	return &Meter{bytes: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrassbeam_meter_control_bytes_total",
		Help: "Bytes sent and received for control on connections that this process opened.",
	}, []string{"peer"})}
}

// Dialer returns a dial function for TCP connections whose bytes are counted with the given value of the label "peer".
func (m *Meter) Dialer(peer string) func(ctx context.Context, network, address string) (net.Conn, error) {
	counter := m.bytes.WithLabelValues(peer)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, bytes: counter}, nil
	}
}

// countingConn is a net.Conn that counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes prometheus.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(float64(n))
	return n, err
}
