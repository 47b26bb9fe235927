package deduplicator

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
	// fleetWritesPerSecond limits the claim writes of all homes together.
	fleetWritesPerSecond = 200
	// homeWritesPerSecond limits the claim writes of one bucket's home; it applies in fleets with few regions.
	homeWritesPerSecond = 20
	defaultCapacity     = 100_000
	defaultReplyBytes   = 8 << 20

	batchWindow   = 3 * time.Millisecond
	commitTimeout = 3 * time.Second
	sweepInterval = 500 * time.Millisecond
	// claimRetryInterval is the time between attempts to write a claim.
	claimRetryInterval = 100 * time.Millisecond
	// maxRunTime is the maximum time from the claim to the end of its request.
	maxRunTime = time.Minute
	retryAfter = time.Second
	// maxTenureGap is the longest time between two checks of the fleet after which a home's tenure still counts as
	// uninterrupted.
	maxTenureGap = 2*commitTimeout + sweepInterval
	maxBatch     = 4096
	// queueLimit is the maximum number of claims queued per bucket.
	queueLimit = 4096
)

// Config configures a Deduplicator.
type Config struct {
	Self eelgrassbeam.Entry
	// Incarnation identifies this run of the process; it is never reused after a restart.
	Incarnation   uint64
	Store         eelgrassbeam.Store
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
	Clock         eelgrassbeam.Clock
	Log           logrus.FieldLogger
	Registerer    prometheus.Registerer
	// WritesPerSecond limits the claim writes per bucket; 0 means an equal share of the fleet's limit.
	WritesPerSecond float64
	// Capacity is the maximum number of recorded keys.
	Capacity int
	// ReplyBytes is the maximum total size of recorded replies, in bytes.
	ReplyBytes int64
	// RunUnclaimed lets an entry that has been the home of a bucket for the whole claim retention time run new keys
	// while the platform is down. A key then runs twice if the home fails or is partitioned before its claim is
	// written and the key is repeated at another home.
	RunUnclaimed bool
}

// Deduplicator records and claims the idempotency keys whose home is this entry.
type Deduplicator struct {
	config     Config
	table      *table
	metrics    metrics
	committers [Buckets]*committer
	era        storeEra
	// skipClaimCheck accepts a written claim without checking the claims of other homes; for tests only.
	skipClaimCheck bool

	mu      sync.Mutex
	tenures [Buckets]homeTenure
}

// New returns a Deduplicator without recorded keys. Claims are written only while Run is active.
func New(config Config) *Deduplicator {
	if config.Capacity <= 0 {
		config.Capacity = defaultCapacity
	}
	if config.ReplyBytes <= 0 {
		config.ReplyBytes = defaultReplyBytes
	}
	k := &Deduplicator{
		config:  config,
		metrics: newMetrics(config.Registerer),
		table: &table{
			clock: config.Clock, capacity: config.Capacity, replyBytes: config.ReplyBytes, records: make(map[scopedKey]*record),
		},
	}
	for bucket := range k.committers {
		k.committers[bucket] = k.newCommitter(bucket)
	}
	k.updateWriteLimits()
	return k
}

func (d *Deduplicator) newCommitter(bucket int) *committer {
	return &committer{
		deduplicator: d, bucket: bucket, queue: make(chan pendingClaim, queueLimit), limiter: rate.NewLimiter(homeWritesPerSecond, homeWritesPerSecond),
		view: &claimView{
			store: d.config.Store, clock: d.config.Clock, kind: fmt.Sprintf("claim_%d", bucket),
			home: d.config.Self.ID, incarnation: d.config.Incarnation,
			objects: make(map[string]*claimObject), undecodable: make(map[*claimObject]bool), claims: make(map[uint64][]foreignClaim),
		},
	}
}

// Run writes claims and expires keys until the context ends.
func (d *Deduplicator) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, c := range d.committers {
		group.Go(func() error { return c.run(ctx) })
	}
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-d.config.Clock.After(sweepInterval):
				d.metrics.keys.Set(float64(d.table.expire(d.window())))
				d.updateWriteLimits()
			}
		}
	})
	return group.Wait()
}

// Do runs a request at the home of its idempotency key, at most once within the idempotency window. A repeat gets the
// recorded reply, or an unknown outcome if the first request is still running or may have run.
func (d *Deduplicator) Do(
	ctx context.Context, request eelgrassbeam.Request,
	run func(ctx context.Context) (eelgrassbeam.Reply, error),
) (eelgrassbeam.Reply, error) {
	key, fingerprint := scopedKeyOf(request), fingerprintOf(request)
	found, first, ok := d.table.begin(key, fingerprint)
	switch {
	case !ok:
		return d.refuse(request, eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonQueueFull)), nil
	case !first:
		return d.answerRepeat(request, found, fingerprint), nil
	}
	for started := false; !started; {
		claimedAt := d.config.Clock.Now()
		result := d.claim(ctx, key, found)
		if result.isEarlier {
			claimedAt = found.claimedAt
		}
		if result.err != nil {
			if !d.mayRunUnclaimed(ctx, request, result.err) {
				return d.refuseUnclaimed(ctx, request, key, result.err), nil
			}
			claimedAt = time.Time{}
			d.claimInBackground(request, key, fingerprint)
		}
		started = d.table.start(key, claimedAt, result.era)
	}
	return d.finish(ctx, request, key, run)
}

// isClaimRecent reports whether a key whose request has not run may run under its earlier claim if that still stands,
// which the store shows after the request has arrived: it may have lost the claim, and another home run the request.
func (d *Deduplicator) isClaimRecent(found record) bool {
	return !found.claimedAt.IsZero() && d.config.Clock.Now().Sub(found.claimedAt) < maxRunTime
}

// finish runs the request and records its outcome; a panic is recorded as an unknown outcome.
func (d *Deduplicator) finish(
	ctx context.Context, request eelgrassbeam.Request, key scopedKey,
	run func(ctx context.Context) (eelgrassbeam.Reply, error),
) (eelgrassbeam.Reply, error) {
	if d.isDeadlineExceeded(ctx) {
		reply := eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonDeadline)
		d.table.finish(key, &reply)
		return reply, nil
	}
	ended := false
	defer func() {
		if !ended {
			d.table.finish(key, nil)
		}
	}()
	reply, err := run(ctx)
	ended = true
	if err != nil || reply.Outcome == eelgrassbeam.OutcomeUnknown {
		d.table.finish(key, nil)
		return reply, err
	}
	d.table.finish(key, &reply)
	return reply, nil
}

// claim queues a claim for the found record and waits until it is committed or the record's earlier claim is confirmed.
// The result has no error once the key is claimed by this home.
func (d *Deduplicator) claim(ctx context.Context, key scopedKey, found record) claimResult {
	p := pendingClaim{
		ctx: ctx, claim: Claim{Key: key.hash(), Fingerprint: found.fingerprint}, result: make(chan claimResult, 1),
		retryUntil: d.claimDeadline(ctx), hasEarlier: d.isClaimRecent(found), earlierEra: found.claimEra,
	}
	select {
	case d.committers[bucketOf(key.key)].queue <- p:
	case <-ctx.Done():
		return claimResult{err: errors.Join(ErrUnclaimed, ctx.Err())}
	}
	select {
	case result := <-p.result:
		return result
	case <-ctx.Done():
		return claimResult{err: errors.Join(ErrUnclaimed, ctx.Err())}
	}
}

// claimDeadline reserves half of the time to the deadline for the request itself.
func (d *Deduplicator) claimDeadline(ctx context.Context) time.Time {
	now := d.config.Clock.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(commitTimeout)
	}
	return now.Add(deadline.Sub(now) / 2)
}

// claimInBackground queues a claim that is written once the platform is available again.
func (d *Deduplicator) claimInBackground(request eelgrassbeam.Request, key scopedKey, fingerprint uint64) {
	p := pendingClaim{
		ctx: context.Background(), claim: Claim{Key: key.hash(), Fingerprint: fingerprint},
		running: true, key: key, queuedAt: d.config.Clock.Now(),
	}
	select {
	case d.committers[bucketOf(key.key)].queue <- p:
	default:
		d.config.Log.WithFields(logrus.Fields{"event": "late_claim_dropped", "request": request.ID}).Error("")
	}
}

// isDeadlineExceeded reports whether the deadline has passed. It also checks the clock, because after a pause of the
// process the context's timer may not have fired yet.
func (d *Deduplicator) isDeadlineExceeded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !d.config.Clock.Now().Before(deadline)
}

// window returns how long a key is recorded after its request has ended.
func (d *Deduplicator) window() time.Duration {
	if d.config.Configuration == nil {
		return defaultWindow
	}
	configuration, ok := d.config.Configuration.Configuration()
	if !ok {
		return defaultWindow
	}
	return configuration.Defaults.IdempotencyWindow.Duration
}

// claimRetention returns how long a claim stays valid after it was first observed. A request may run again under its
// claim until maxRunTime after the claim, and that run may take up to maxRunTime; its key is then recorded for the
// window.
func (d *Deduplicator) claimRetention() time.Duration { return d.window() + 2*maxRunTime }

func (d *Deduplicator) observeCommit(claims int, err error) {
	if err != nil {
		d.metrics.commitFailures.Inc()
		d.config.Log.WithFields(logrus.Fields{"event": "claims_failed", "claims": claims, "error": err.Error()}).Warn("")
		return
	}
	d.metrics.commits.Inc()
	d.metrics.claims.Add(float64(claims))
}
