package coordinator

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pipeline"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/budget"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// Fleet is the coordinator's access to the release, the targets and the other nodes.
type Fleet interface {
	// Release returns the active release, nil if there is none yet.
	Release() *release.Release
	// Unavailable reports whether the node rejects new work, and why.
	Unavailable(now time.Time) (outcome.NotRun, bool)
	// Candidates returns the targets of a pool that may take new work.
	Candidates(pool string) []Candidate
	// Work runs one attempt on a node and calls handle for each event.
	Work(ctx context.Context, node string, w *peerpb.WorkRequest, handle func(*peerpb.WorkEvent) error) error
	// Cancel cancels an attempt on a node and reports whether it had been sent. It fails if the process that
	// answers was started after began, since that process cannot know.
	Cancel(ctx context.Context, node string, w *peerpb.WorkRequest, began time.Time) (sent bool, err error)
	// Claim, Settle and Find call the holder of the key's ledger shard.
	Claim(ctx context.Context, row ledger.Row, remaining time.Duration) ledger.Result
	Settle(ctx context.Context, key, request string, state ledger.State, body []byte, wait time.Duration) ledger.Result
	Find(ctx context.Context, key string, wait time.Duration) ledger.Result
}

// Config configures a coordinator.
type Config struct {
	Node       string
	Generation uint64
	Now        func() time.Time
	Fleet      Fleet
	// RandIntN returns a random number from 0 to n-1.
	RandIntN func(n int) int
	// OnRequestEnd is called for each finished request.
	OnRequestEnd func(r request.Request, o outcome.Outcome, took time.Duration)
	// OnAttempt is called for each attempt that reached a target.
	OnAttempt func(stage string, cost time.Duration, complete bool)
}

// Coordinator runs requests through their pipelines.
type Coordinator struct {
	cfg          Config
	selector     *Selector
	logs         *request.LogStore
	sequence     atomic.Uint64
	active       atomic.Int64
	stop         *stopState
	mu           sync.Mutex
	rateBuckets  map[string]budget.RateBucket
	retryBuckets map[string]*budget.RetryBucket
	// overloadedUntil holds the time until which requests of a team and priority are rejected for a pool that has
	// just rejected one of them.
	overloadedUntil map[queueClass]time.Time
}

// queueClass identifies the requests that have the same position in the queues of a pool.
type queueClass struct {
	pool     string
	team     string
	priority team.Priority
}

// New returns a coordinator.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		cfg:             cfg,
		selector:        NewSelector(),
		logs:            request.NewLogStore(),
		stop:            newStopState(),
		rateBuckets:     map[string]budget.RateBucket{},
		retryBuckets:    map[string]*budget.RetryBucket{},
		overloadedUntil: map[queueClass]time.Time{},
	}
}

// Active returns the number of running requests.
func (c *Coordinator) Active() int64 { return c.active.Load() }

// Log returns the event log of a request that was started here.
func (c *Coordinator) Log(id string) (*request.EventLog, bool) { return c.logs.Get(id) }

// Start checks a request and runs it in the background; it returns the request's ID and event log at once.
func (c *Coordinator) Start(r request.Request) (string, *request.EventLog) {
	// The request is counted before the check whether the node takes work, so that either a stop of the node
	// waits for the request or the request is rejected.
	c.active.Add(1)
	now := c.cfg.Now()
	r.ID = request.NewID(c.cfg.Node, c.cfg.Generation, c.sequence.Add(1))
	log := c.logs.Open(now, r.ID)
	plan, rejection := c.resolve(now, r)
	if rejection != nil {
		c.finish(r, log, now, rejection)
		c.active.Add(-1)
		return r.ID, log
	}
	go func() {
		defer c.active.Add(-1)
		ctx, end := context.WithCancelCause(context.Background())
		defer end(nil)
		ctx, cancel := context.WithDeadline(ctx, plan.request.Deadline)
		defer cancel()
		plan.running = c.stop.begin(now, plan, end)
		o := c.run(ctx, plan, log)
		c.stop.finish(c.cfg.Now(), plan.running, o)
		c.finish(r, log, now, o)
	}()
	return r.ID, log
}

func (c *Coordinator) finish(r request.Request, log *request.EventLog, began time.Time, o outcome.Outcome) {
	now := c.cfg.Now()
	log.Finish(now, outcome.ToRecord(o))
	c.cfg.OnRequestEnd(r, o, now.Sub(began))
}

// plan is a request with the catalog objects that it runs with.
type plan struct {
	request   request.Request
	pipeline  pipeline.Pipeline
	stages    []stage.Stage
	weight    int
	priority  team.Priority
	totalTime time.Duration
	// noRetryStage is the index of the stage that may not be retried, -1 if there is none.
	noRetryStage int
	// isBounded is set if the request was accepted during a planned stop, which bounds its deadline.
	isBounded bool
	running   *runningRequest
}

func (p plan) usesLedger() bool { return p.noRetryStage >= 0 && p.request.Key != "" }

// resolve looks up the objects of a request, or returns the outcome of a request that is not run.
func (c *Coordinator) resolve(now time.Time, r request.Request) (plan, outcome.Outcome) {
	if unavailable, ok := c.cfg.Fleet.Unavailable(now); ok {
		return plan{}, unavailable
	}
	set := c.cfg.Fleet.Release().Set
	pl, ok := set.Pipelines[r.Pipeline]
	if !ok {
		return plan{}, objectNotFound("pipeline", r.Pipeline)
	}
	t, ok := set.Teams[r.Team]
	if !ok {
		return plan{}, objectNotFound("team", r.Team)
	}
	p := plan{request: r, pipeline: pl, weight: t.Weight, priority: t.Priority, noRetryStage: -1}
	if r.Priority.Rank() > t.Priority.Rank() && r.Priority != "" {
		p.priority = r.Priority
	}
	if r.Deadline.IsZero() || r.Deadline.After(now.Add(pl.Deadline.Duration())) {
		p.request.Deadline = now.Add(pl.Deadline.Duration())
	}
	if rejection := c.stop.admit(now, &p); rejection != nil {
		return plan{}, rejection
	}
	p.totalTime = p.request.Deadline.Sub(now)
	for i, name := range pl.Stages {
		s := set.Stages[name]
		p.stages = append(p.stages, s)
		if s.RetryPolicy == stage.RetryNever {
			p.noRetryStage = i
		}
	}
	if wait := c.takeRate(now, t); wait > 0 {
		return plan{}, outcome.NotRun{Reason: outcome.Rate, Text: "team " + t.Name + " is over its rate", RetryAfter: wait}
	}
	return p, c.checkAdmission(now, p)
}

func objectNotFound(kind, name string) outcome.NotRun {
	return outcome.NotRun{Reason: outcome.Invalid, Text: kind + " " + name + " does not exist"}
}

func (c *Coordinator) takeRate(now time.Time, t team.Team) time.Duration {
	if t.RateLimit == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next, wait := c.rateBuckets[t.Name].Take(now, t.RateLimit)
	c.rateBuckets[t.Name] = next
	return wait
}

// checkAdmission rejects a request if its stages together would wait past its deadline, or if a request of the same team
// and priority has just been rejected for one of its pools: the stages before that one would run in vain.
func (c *Coordinator) checkAdmission(now time.Time, p plan) outcome.Outcome {
	if wait := c.overloadDelay(now, p); wait > 0 {
		return outcome.NotRun{Reason: outcome.Overload, Text: "a stage has just refused a request like this", RetryAfter: max(minRetryAfter, wait)}
	}
	var wait time.Duration
	for _, s := range p.stages {
		wait += c.selector.MinWait(now, c.cfg.Fleet.Candidates(s.Pool))
	}
	if wait < p.totalTime {
		return nil
	}
	return outcome.NotRun{Reason: outcome.Overload, Text: "the wait for its stages is longer than the deadline", RetryAfter: max(minRetryAfter, wait-p.totalTime)}
}

const (
	minOverloadTime = 50 * time.Millisecond
	maxOverloadTime = 250 * time.Millisecond
)

// recordOverload records that the targets of a pool rejected a request because they could not run it in time.
func (c *Coordinator) recordOverload(now time.Time, p plan, pool string, retry time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, until := range c.overloadedUntil {
		if !now.Before(until) {
			delete(c.overloadedUntil, k)
		}
	}
	c.overloadedUntil[queueClass{pool, p.request.Team, p.priority}] = now.Add(min(max(retry, minOverloadTime), maxOverloadTime))
}

// overloadDelay returns how long requests of the same team and priority are still rejected, 0 if they are not.
func (c *Coordinator) overloadDelay(now time.Time, p plan) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var wait time.Duration
	for _, s := range p.stages {
		wait = max(wait, c.overloadedUntil[queueClass{s.Pool, p.request.Team, p.priority}].Sub(now))
	}
	return wait
}

const minRetryAfter = 100 * time.Millisecond

func (c *Coordinator) retryBucket(pool string) *budget.RetryBucket {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.retryBuckets[pool]
	if !ok {
		b = budget.NewRetryBucket()
		c.retryBuckets[pool] = b
	}
	return b
}

// Find returns the outcome of the request with a team and idempotency key.
func (c *Coordinator) Find(ctx context.Context, team, key string, wait time.Duration) outcome.Outcome {
	res := c.cfg.Fleet.Find(ctx, request.Scope(team, key), wait)
	if res.Status == ledger.Unavailable && ctx.Err() != nil {
		return outcome.Unknown{Reason: outcome.Lost, Text: "the look-up was ended; the request with this key may still run"}
	}
	return ledgerOutcome(res)
}

// ledgerOutcome converts a result of the ledger to an outcome.
func ledgerOutcome(res ledger.Result) outcome.Outcome {
	switch res.Status {
	case ledger.Done:
		var r outcome.Record
		if err := json.Unmarshal(res.Body, &r); err != nil {
			return outcome.Unknown{Reason: outcome.Lost, Text: "the ledger's record cannot be read"}
		}
		return outcome.FromRecord(r)
	case ledger.NotFound:
		return outcome.NotRun{Reason: outcome.Invalid, Text: "the key is not known"}
	case ledger.KeyReused:
		return outcome.NotRun{Reason: outcome.KeyReused, Text: "the key was used with another body"}
	case ledger.Running:
		return outcome.Unknown{Reason: outcome.Lost, Text: "the request with this key still runs"}
	case ledger.Unknown:
		return outcome.Unknown{Reason: outcome.Lost, Text: "the request with this key ended without an answer being recorded"}
	default:
		return outcome.NotRun{Reason: outcome.PlatformUnavailable, Text: "the ledger cannot be reached", RetryAfter: ledgerRetryAfter}
	}
}

const ledgerRetryAfter = time.Second
