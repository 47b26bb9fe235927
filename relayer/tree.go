package relayer

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// FanOut is the maximum number of children per tree node.
const FanOut = 4

// scope selects the entries that a push reaches.
type scope string

const (
	// scopeZone reaches the zone's live entries.
	scopeZone scope = "zone"
	// scopeFleet reaches one live entry of each other zone, which then starts a tree in its own zone.
	scopeFleet scope = "fleet"
)

// push carries a configuration update or membership changes down a tree. Each receiver derives its children from its
// own fleet view, the root and the key.
type push struct {
	From eelgrassbeam.EntryID `json:"from"`
	Root eelgrassbeam.EntryID `json:"root"`
	// Key identifies the tree together with Root and Scope. It also varies the order of nodes, so that different trees
	// have different inner nodes. It is the revision for a configuration and a counter for membership changes.
	Key           uint64                     `json:"key"`
	Scope         scope                      `json:"scope"`
	Configuration *update                    `json:"configuration,omitempty"`
	Membership    *monitor.MembershipChanges `json:"news,omitempty"`
}

// Validate checks the fields that the receiver relies on. Errors wrap eelgrassbeam.ErrInvalid.
func (p push) Validate() error {
	isScope := p.Scope == scopeZone || p.Scope == scopeFleet
	if p.From == "" || p.Root == "" || !isScope || p.Configuration != nil && p.Configuration.Revision == 0 {
		return fmt.Errorf("%w: push from %q: missing sender, root or version, or unknown scope", eelgrassbeam.ErrInvalid, p.From)
	}
	return nil
}

// treeNodes returns the nodes of the push's tree, the root first. The children of node i are the nodes FanOut*i+1 to
// FanOut*i+FanOut. A zone tree contains the live entries of the given zone. A fleet tree contains one delegate of each
// zone other than the root's, and ignores the given zone.
func treeNodes(fleet *eelgrassbeam.Fleet, message push, zone eelgrassbeam.ZoneID) []eelgrassbeam.Entry {
	key := fmt.Sprintf("tree/%s/%d", message.Root, message.Key)
	var nodes []eelgrassbeam.Entry
	if message.Scope == scopeZone {
		nodes = assigner.LiveEntries(fleet, func(e eelgrassbeam.Entry) bool { return e.Zone == zone })
	} else {
		nodes = delegates(fleet, key)
	}
	root, isKnown := fleet.Entry(message.Root)
	nodes = slices.DeleteFunc(nodes, func(e eelgrassbeam.Entry) bool {
		return e.ID == message.Root || message.Scope == scopeFleet && isKnown && e.Zone == root.Zone
	})
	return append([]eelgrassbeam.Entry{{ID: message.Root}}, assigner.SortByScore(key, nodes)...)
}

// delegates returns one live entry per zone, chosen by rendezvous hashing on the key.
func delegates(fleet *eelgrassbeam.Fleet, key string) []eelgrassbeam.Entry {
	zones := make(map[eelgrassbeam.ZoneID][]eelgrassbeam.Entry)
	for _, entry := range assigner.LiveEntries(fleet, nil) {
		zones[entry.Zone] = append(zones[entry.Zone], entry)
	}
	var chosen []eelgrassbeam.Entry
	for _, members := range zones {
		if entry, ok := assigner.HighestScoring(key, members); ok {
			chosen = append(chosen, entry)
		}
	}
	return chosen
}

// forward sends the message to this entry's children in the tree.
func (r *Relayer) forward(ctx context.Context, message push) {
	nodes := treeNodes(r.config.Fleet.Fleet(), message, r.config.Self.Zone)
	i := slices.IndexFunc(nodes, func(e eelgrassbeam.Entry) bool { return e.ID == r.config.Self.ID })
	if i < 0 {
		return
	}
	message.From = r.config.Self.ID
	r.sendToChildren(ctx, nodes, i, message)
}

// sendToChildren sends the message to the children of node i. If a child does not answer, the child's own children
// are sent the message directly.
func (r *Relayer) sendToChildren(ctx context.Context, nodes []eelgrassbeam.Entry, i int, message push) {
	var group errgroup.Group
	for child := FanOut*i + 1; child <= FanOut*i+FanOut && child < len(nodes); child++ {
		group.Go(func() error {
			if nodes[child].ID != r.config.Self.ID && r.send(ctx, nodes[child], message) == nil {
				return nil
			}
			r.sendToAlternate(ctx, nodes[child], message)
			r.sendToChildren(ctx, nodes, child, message)
			return nil
		})
	}
	_ = group.Wait()
}

// sendToAlternate replaces a delegate that does not answer: it sends the message to another entry of the delegate's
// zone, which then starts the tree there. It does nothing for a push within one zone.
func (r *Relayer) sendToAlternate(ctx context.Context, delegate eelgrassbeam.Entry, message push) {
	if message.Scope != scopeFleet || delegate.ID == r.config.Self.ID {
		return
	}
	others := slices.DeleteFunc(r.zoneMembers(delegate.Zone), func(e eelgrassbeam.Entry) bool { return e.ID == delegate.ID })
	if other, ok := assigner.HighestScoring(fmt.Sprint(message.Key), others); ok {
		_ = r.send(ctx, other, message)
	}
}

func (r *Relayer) send(ctx context.Context, to eelgrassbeam.Entry, message push) error {
	_, err := call[pushReply](ctx, r, to, methodPush, &message)
	r.metrics.pushes.WithLabelValues(resultOf(err)).Inc()
	return err
}

// call calls the method on the entry, bounded by a timeout. If the call times out, its connection may be unresponsive
// and is evicted from the pool, so that the next call opens a new one. Errors wrap eelgrassbeam.ErrUnavailable.
func call[Response, Request any](ctx context.Context, r *Relayer, to eelgrassbeam.Entry, method string, request *Request) (*Response, error) {
	conn, err := r.config.Pool.Conn(to.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("%w: %s to %s: %w", eelgrassbeam.ErrUnavailable, method, to.ID, err)
	}
	timeout := callTimeout
	if method == methodPull || method == methodZone {
		timeout = longCallTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := peer.Call[Response](bounded, conn, Service, method, request)
	if err == nil {
		return response, nil
	}
	if ctx.Err() == nil && (errors.Is(err, context.DeadlineExceeded) || status.Code(err) == codes.DeadlineExceeded) {
		r.config.Pool.Evict(to.PeerAddress, conn)
	}
	return nil, fmt.Errorf("%w: %s to %s: %w", eelgrassbeam.ErrUnavailable, method, to.ID, err)
}
