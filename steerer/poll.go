package steerer

import (
	"context"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/holder"
)

const pollInterval = time.Second

// poller reads the configuration from the platform at intervals.
type poller struct{ steerer *Steerer }

// Run implements eelgrassbeam.Runner.
func (p poller) Run(ctx context.Context) error {
	for {
		if stored, err := p.steerer.changer.Read(ctx); err == nil {
			_ = p.steerer.holder.Offer(stored, holder.SourcePlatform)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.steerer.config.Clock.After(pollInterval):
		}
	}
}
