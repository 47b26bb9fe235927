package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	defaultWindow = 10 * time.Minute
	// fleetWritesPerSecond bounds the claims' writes of all homes together.
	fleetWritesPerSecond = 200
	// homeWritesPerSecond bounds those of one bucket's home in a fleet of few regions.
	homeWritesPerSecond = 20
	defaultCapacity     = 100_000
	defaultReplyBytes   = 8 << 20

	gatherTime    = 3 * time.Millisecond
	commitTimeout = 3 * time.Second
	sweepInterval = 500 * time.Millisecond
	// claimPause is the time between attempts to make a claim.
	claimPause = 100 * time.Millisecond
	// runMargin is the longest time from a claim to the end of its request.
	runMargin  = time.Minute
	retryAfter = time.Second
	// maxNoteGap is the longest time without a look at the fleet that still counts as holding a bucket.
	maxNoteGap = 2*commitTimeout + sweepInterval
	maxBatch   = 4096
	queueLimit = 4096
)

// Config configures a Keeper.
type Config struct {
	Self eelgrassbeam.Entry
	// Incarnation names this run of the process; it never returns after a restart.
	Incarnation   uint64
	Store         eelgrassbeam.Store
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
	Clock         eelgrassbeam.Clock
	Log           logrus.FieldLogger
	Registerer    prometheus.Registerer
	// WritesPerSecond bounds the writes of claims for one bucket; 0 for an equal share of the fleet's.
	WritesPerSecond float64
	// Capacity bounds the number of keys remembered.
	Capacity int
	// ReplyBytes bounds the bodies of the answers remembered.
	ReplyBytes int64
	// RunUnclaimed lets a home that has held a key's bucket for the whole window
	// run new keys while the platform is down. A key then runs twice if the home
	// is lost or cut off before its claim is written and the key is repeated.
	RunUnclaimed bool
}

// Keeper is the home of a share of the idempotency keys.
type Keeper struct {
	config     Config
	table      *table
	metrics    metrics
	committers [Buckets]*committer
	// trustWrites is for tests: a claim counts without a look at other homes' claims.
	trustWrites bool

	mu   sync.Mutex
	held [Buckets]holding
}

// New returns a keeper that remembers nothing yet; Run serves its claims.
func New(config Config) *Keeper {
	if config.Capacity <= 0 {
		config.Capacity = defaultCapacity
	}
	if config.ReplyBytes <= 0 {
		config.ReplyBytes = defaultReplyBytes
	}
	k := &Keeper{
		config:  config,
		metrics: newMetrics(config.Registerer),
		table: &table{
			clock: config.Clock, capacity: config.Capacity, replyBytes: config.ReplyBytes, records: make(map[scope]*record),
		},
	}
	for bucket := range k.committers {
		k.committers[bucket] = k.newCommitter(bucket)
	}
	k.shareWrites()
	return k
}

func (k *Keeper) newCommitter(bucket int) *committer {
	return &committer{
		keeper: k, bucket: bucket, in: make(chan pending, queueLimit), limiter: rate.NewLimiter(homeWritesPerSecond, homeWritesPerSecond),
		view: &view{
			store: k.config.Store, clock: k.config.Clock, kind: fmt.Sprintf("claim_%d", bucket),
			home: k.config.Self.ID, incarnation: k.config.Incarnation,
			objects: make(map[string]*seen), opaque: make(map[string]*seen), claims: make(map[uint64][]foreign),
		},
	}
}

// Run writes claims and expires keys until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, c := range k.committers {
		group.Go(func() error { return c.run(ctx) })
	}
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-k.config.Clock.After(sweepInterval):
				k.metrics.keys.Set(float64(k.table.expire(k.window())))
				k.shareWrites()
			}
		}
	})
	return group.Wait()
}

// Do runs a request with an idempotency key at the key's home, at most once in
// the window. A repeat gets the recorded answer. A repeat whose first request
// still runs, or may have run, gets an unknown outcome.
func (k *Keeper) Do(
	ctx context.Context, request eelgrassbeam.Request,
	run func(ctx context.Context) (eelgrassbeam.Reply, error),
) (eelgrassbeam.Reply, error) {
	key, fingerprint := scopeOf(request), fingerprintOf(request)
	found, first, ok := k.table.begin(key, fingerprint)
	switch {
	case !ok:
		return k.refused(request, eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonQueueFull)), nil
	case !first:
		return k.repeated(request, found, fingerprint), nil
	}
	asked := k.config.Clock.Now()
	if !found.claimed.IsZero() && asked.Sub(found.claimed) < runMargin {
		asked = found.claimed
	} else if err := k.claim(ctx, key, fingerprint); err != nil {
		if !k.mayRunUnclaimed(ctx, request, err) {
			return k.unclaimed(ctx, request, key, err), nil
		}
		asked = time.Time{}
		k.claimLate(request, Claim{Key: key.hash(), Fingerprint: fingerprint})
	}
	k.table.start(key, asked)
	return k.finish(ctx, request, key, run)
}

// finish runs the request and records how it ended.
func (k *Keeper) finish(
	ctx context.Context, request eelgrassbeam.Request, key scope,
	run func(ctx context.Context) (eelgrassbeam.Reply, error),
) (eelgrassbeam.Reply, error) {
	if k.isPast(ctx) {
		reply := eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonDeadline)
		k.table.finish(key, &reply)
		return reply, nil
	}
	ended := false
	defer func() {
		if !ended {
			k.table.finish(key, nil)
		}
	}()
	reply, err := run(ctx)
	ended = true
	if err != nil || reply.Outcome == eelgrassbeam.OutcomeUnknown {
		k.table.finish(key, nil)
		return reply, err
	}
	k.table.finish(key, &reply)
	return reply, nil
}

// claim returns nil once the key is this home's own in the platform.
func (k *Keeper) claim(ctx context.Context, key scope, fingerprint uint64) error {
	p := pending{
		ctx: ctx, claim: Claim{Key: key.hash(), Fingerprint: fingerprint}, verdict: make(chan error, 1),
		until: k.claimUntil(ctx),
	}
	select {
	case k.committers[bucketOf(key.key)].in <- p:
	case <-ctx.Done():
		return errors.Join(ErrUnclaimed, ctx.Err())
	}
	select {
	case err := <-p.verdict:
		return err
	case <-ctx.Done():
		return errors.Join(ErrUnclaimed, ctx.Err())
	}
}

// claimUntil leaves half of the time to the deadline for the request itself.
func (k *Keeper) claimUntil(ctx context.Context) time.Time {
	now := k.config.Clock.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(commitTimeout)
	}
	return now.Add(deadline.Sub(now) / 2)
}

// claimLate has the claim written once the platform answers again.
func (k *Keeper) claimLate(request eelgrassbeam.Request, claim Claim) {
	p := pending{ctx: context.Background(), claim: claim, ran: true}
	select {
	case k.committers[bucketOf(request.IdempotencyKey)].in <- p:
	default:
		k.config.Log.WithFields(logrus.Fields{"event": "late_claim_dropped", "request": request.ID}).Error("")
	}
}

// isPast tells whether the deadline has passed, also where the process was paused and no timer has run yet.
func (k *Keeper) isPast(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !k.config.Clock.Now().Before(deadline)
}

// window is how long a key is remembered after its request has ended.
func (k *Keeper) window() time.Duration {
	if k.config.Configuration == nil {
		return defaultWindow
	}
	configuration, ok := k.config.Configuration.Configuration()
	if !ok {
		return defaultWindow
	}
	return configuration.Defaults.IdempotencyWindow.Duration
}

// keepTime is how long a claim counts after it was first seen.
func (k *Keeper) keepTime() time.Duration { return k.window() + 2*runMargin }

func (k *Keeper) observeCommit(claims int, err error) {
	if err != nil {
		k.metrics.commitFailures.Inc()
		k.config.Log.WithFields(logrus.Fields{"event": "claims_failed", "claims": claims, "error": err.Error()}).Warn("")
		return
	}
	k.metrics.commits.Inc()
	k.metrics.claims.Add(float64(claims))
}
