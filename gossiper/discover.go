package gossiper

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// discover registers this entry and reads the store for entries that aren't known yet.
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
		// An entry that knows others learns of new ones from them sooner than from the store.
		list := g.config.Directory.ListStale
		if len(g.Members()) == 1 {
			list = g.config.Directory.List
		}
		entries, err := list(ctx)
		if err != nil {
			g.config.Log.WithFields(logrus.Fields{"event": "discover_failed", "error": err}).Warn("")
		}
		g.introduce(entries)
		pause := discoverInterval
		if !registered || len(g.Members()) == 1 {
			pause = aloneInterval
		}
		select {
		case <-ctx.Done():
		case <-g.config.Clock.After(pause):
		}
	}
	return nil
}

// introduce makes entries of the store known as failed members, which are called until they answer.
func (g *Gossiper) introduce(entries []eelgrassbeam.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	longAgo := g.config.Clock.Now().Add(-farSilence)
	for _, entry := range entries {
		if entry.ID != g.config.Self.ID && g.records[entry.ID] == nil {
			g.records[entry.ID] = &record{member: Member{Entry: entry}, heard: longAgo, failed: true}
		}
	}
}
