package gossiper

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// discover registers this entry in the store and periodically reads the store for unknown entries.
func (g *Gossiper) discover(ctx context.Context) error {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			err := g.config.Directory.Register(ctx, g.config.Self)
			registered = err == nil
			if err != nil {
				g.config.Log.WithFields(logrus.Fields{"event": "register_failed", "error": err}).Warn("")
			}
		}
		// An entry that knows others learns of new ones through gossip sooner, so a stale list suffices.
		list := g.config.Directory.ListStale
		if len(g.Members()) == 1 {
			list = g.config.Directory.List
		}
		entries, err := list(ctx)
		if err != nil {
			g.config.Log.WithFields(logrus.Fields{"event": "discover_failed", "error": err}).Warn("")
		}
		g.addDiscovered(entries)
		interval := discoveryInterval
		if !registered || len(g.Members()) == 1 {
			interval = isolatedDiscoveryInterval
		}
		select {
		case <-ctx.Done():
		case <-g.config.Clock.After(interval):
		}
	}
	return nil
}

// addDiscovered adds unknown entries from the store as failed members, which gossip rounds try to reach.
func (g *Gossiper) addDiscovered(entries []eelgrassbeam.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lastHeard := g.config.Clock.Now().Add(-crossZoneFailureTimeout)
	for _, entry := range entries {
		if entry.ID != g.config.Self.ID && g.records[entry.ID] == nil {
			g.records[entry.ID] = &record{member: Member{Entry: entry}, lastHeard: lastHeard, failed: true}
		}
	}
}
