package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

// BenchmarkExchange compares an exchange with guards, one without, and a plain net/http call. The three alternate, so
// that all run under the same machine load.
func BenchmarkExchange(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1024)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		_, _ = w.Write(body)
	}))
	defer server.Close()
	target := upstreamAt(netip.MustParseAddrPort(server.Listener.Addr().String()))
	guarded := New(Config{Clock: clockwork.NewRealClock()})
	defer guarded.Close()
	unguarded := New(Config{Clock: clockwork.NewRealClock()})
	unguarded.guards = guards{}
	defer unguarded.Close()
	exchange := func(c *Client) func() error {
		return func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := c.Exchange(ctx, target, newPost("r1", string(body)), testLimits)
			return err
		}
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	variants := []struct {
		name    string
		call    func() error
		latency *hdrhistogram.Histogram
	}{
		{"direct", func() error { return plainExchange(transport, server.URL, body) }, newHistogram()},
		{"guards_off", exchange(unguarded), newHistogram()},
		{"guards_on", exchange(guarded), newHistogram()},
	}
	for range b.N {
		for _, variant := range variants {
			begin := time.Now()
			if err := variant.call(); err != nil {
				b.Fatal(err)
			}
			_ = variant.latency.RecordValue(time.Since(begin).Nanoseconds())
		}
	}
	for _, variant := range variants {
		b.ReportMetric(float64(variant.latency.ValueAtQuantile(50))/1e3, variant.name+"_p50_us")
		b.ReportMetric(float64(variant.latency.ValueAtQuantile(99))/1e3, variant.name+"_p99_us")
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
}

func plainExchange(transport *http.Transport, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/confirm?table=4", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(HeaderRequestID, "r1")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err
}
