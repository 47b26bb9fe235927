package gossiper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// discover registers this entry in the store and periodically reads the store for unknown entries. In each zone only
// the watchers do so, since they tell the others; and so does an entry that knows no other. A store that is restored
// from an older copy may have lost the registration.
func (g *Gossiper) discover(ctx context.Context) error {
	g.awaitMembers(ctx)
	registered, registeredEra := false, uint64(0)
	var listedAt time.Time
	for ctx.Err() == nil {
		now := g.config.Clock.Now()
		isIsolated := len(g.Members()) == 1
		if isIsolated || g.IsWatcher() {
			if era := g.config.Replica.Revisions().era(); !registered || era > registeredEra {
				registered, registeredEra = g.registerSelf(ctx), era
			}
			if isIsolated || listedAt.IsZero() || now.Sub(listedAt) >= discoveryInterval {
				g.readDirectory(ctx, isIsolated)
				listedAt = now
			}
		}
		select {
		case <-ctx.Done():
		case <-g.config.Clock.After(discoveryPollInterval):
		}
	}
	return nil
}

// awaitMembers waits until gossip has shown which members of this zone are watchers, or that no seed answers.
func (g *Gossiper) awaitMembers(ctx context.Context) {
	started := g.config.Clock.Now()
	for ctx.Err() == nil {
		waited, isIsolated := g.config.Clock.Now().Sub(started), len(g.Members()) == 1
		if waited >= settleTime || isIsolated && (waited >= seedTimeout || !g.hasSeeds()) {
			return
		}
		select {
		case <-ctx.Done():
		case <-g.config.Clock.After(memberPollInterval):
		}
	}
}

// hasSeeds reports whether the settings name an entry other than this one.
func (g *Gossiper) hasSeeds() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range g.seeds {
		if seed != g.config.Self.PeerAddress {
			return true
		}
	}
	return false
}

// registerSelf writes this entry's addresses to the store and reports whether it succeeded.
func (g *Gossiper) registerSelf(ctx context.Context) bool {
	err := g.config.Directory.Register(ctx, g.config.Self)
	if err != nil {
		g.config.Log.WithFields(logrus.Fields{"event": "register_failed", "error": err}).Warn("")
	}
	return err == nil
}

// readDirectory reads the entries in the store. An isolated entry needs the current ones; others learn of new entries
// through gossip sooner, so a stale list suffices.
func (g *Gossiper) readDirectory(ctx context.Context, isIsolated bool) {
	list := g.config.Directory.ListStale
	if isIsolated {
		list = g.config.Directory.List
	}
	entries, err := list(ctx)
	if err != nil {
		g.config.Log.WithFields(logrus.Fields{"event": "discover_failed", "error": err}).Warn("")
	}
	g.addDiscovered(entries)
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
