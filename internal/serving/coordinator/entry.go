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

// Fleet is what an entry needs from the nodes around it.
type Fleet interface {
	// Release is the release in force, nil if there is none yet.
	Release() *release.Release
	// Unavailable tells why the node takes no new work, if so.
	Unavailable(now time.Time) (outcome.NotRun, bool)
	// Candidates lists the targets of a pool that may take new work.
	Candidates(pool string) []Candidate
	// Work runs one attempt at a node and hands each event to on.
	Work(ctx context.Context, node string, w *peerpb.WorkRequest, on func(*peerpb.WorkEvent) error) error
	// Cancel gives an attempt up at a node and tells whether it had been sent; it fails if the process that
	// answers has started since began, since it cannot know.
	Cancel(ctx context.Context, node string, w *peerpb.WorkRequest, began time.Time) (sent bool, err error)
	// Claim, Settle and Find reach the holder of a key's ledger shard.
	Claim(ctx context.Context, row ledger.Row, remaining time.Duration) ledger.Result
	Settle(ctx context.Context, key, request string, state ledger.State, body []byte, wait time.Duration) ledger.Result
	Find(ctx context.Context, key string, wait time.Duration) ledger.Result
}

// Config is what an entry is made of.
type Config struct {
	Node       string
	Generation uint64
	Now        func() time.Time
	Fleet      Fleet
	// RandIntN draws a number from 0 to n-1.
	RandIntN func(n int) int
	// OnRequestEnd is told of each finished request.
	OnRequestEnd func(r request.Request, o outcome.Outcome, took time.Duration)
	// OnAttempt is told of each attempt that reached a target.
	OnAttempt func(stage string, cost time.Duration, whole bool)
}

// Coordinator runs requests.
type Coordinator struct {
	cfg     Config
	choice  *Selector
	logs    *request.Registry
	count   atomic.Uint64
	active  atomic.Int64
	mu      sync.Mutex
	rates   map[string]budget.RateBucket
	retries map[string]*budget.RetryBucket
	// full holds until when requests of a team and priority are refused for a pool that has just refused one.
	full map[crowd]time.Time
}

// crowd is the requests that share a place in the queues of a pool.
type crowd struct {
	pool     string
	team     string
	priority team.Priority
}

// New makes an entry.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		cfg:     cfg,
		choice:  NewSelector(),
		logs:    request.NewRegistry(),
		rates:   map[string]budget.RateBucket{},
		retries: map[string]*budget.RetryBucket{},
		full:    map[crowd]time.Time{},
	}
}

// Active is how many requests run.
func (e *Coordinator) Active() int64 { return e.active.Load() }

// Log gives the log of a request that was entered here.
func (e *Coordinator) Log(id string) (*request.EventLog, bool) { return e.logs.Get(id) }

// Start checks a request and sets it going; its id and log are returned at once.
func (e *Coordinator) Start(r request.Request) (string, *request.EventLog) {
	// Counted before the check whether the node is closed, so that a stop sees the request or is seen by it.
	e.active.Add(1)
	now := e.cfg.Now()
	r.ID = request.NewID(e.cfg.Node, e.cfg.Generation, e.count.Add(1))
	log := e.logs.Open(now, r.ID)
	plan, refusal := e.plan(now, r)
	if refusal != nil {
		e.end(r, log, now, refusal)
		e.active.Add(-1)
		return r.ID, log
	}
	go func() {
		defer e.active.Add(-1)
		ctx, cancel := context.WithDeadline(context.Background(), plan.request.Deadline)
		defer cancel()
		e.end(r, log, now, e.run(ctx, plan, log))
	}()
	return r.ID, log
}

func (e *Coordinator) end(r request.Request, log *request.EventLog, began time.Time, o outcome.Outcome) {
	now := e.cfg.Now()
	log.Finish(now, outcome.ToRecord(o))
	e.cfg.OnRequestEnd(r, o, now.Sub(began))
}

// plan is a request with the objects that it runs by.
type plan struct {
	request  request.Request
	pipeline pipeline.Pipeline
	stages   []stage.Stage
	weight   int
	priority team.Priority
	whole    time.Duration
	// never is the index of the stage that may not be repeated, -1 if there is none.
	never int
}

func (p plan) ledgered() bool { return p.never >= 0 && p.request.Key != "" }

// plan resolves a request, or says why it is not run.
func (e *Coordinator) plan(now time.Time, r request.Request) (plan, outcome.Outcome) {
	if closed, ok := e.cfg.Fleet.Unavailable(now); ok {
		return plan{}, closed
	}
	set := e.cfg.Fleet.Release().Set
	pl, ok := set.Pipelines[r.Pipeline]
	if !ok {
		return plan{}, invalid("pipeline", r.Pipeline)
	}
	t, ok := set.Teams[r.Team]
	if !ok {
		return plan{}, invalid("team", r.Team)
	}
	p := plan{request: r, pipeline: pl, weight: t.Weight, priority: t.Priority, never: -1}
	if r.Priority.Rank() > t.Priority.Rank() && r.Priority != "" {
		p.priority = r.Priority
	}
	if r.Deadline.IsZero() || r.Deadline.After(now.Add(pl.Deadline.Duration())) {
		p.request.Deadline = now.Add(pl.Deadline.Duration())
	}
	p.whole = p.request.Deadline.Sub(now)
	for i, name := range pl.Stages {
		s := set.Stages[name]
		p.stages = append(p.stages, s)
		if s.RetryPolicy == stage.RetryNever {
			p.never = i
		}
	}
	if retry := e.rate(now, t); retry > 0 {
		return plan{}, outcome.NotRun{Reason: outcome.Rate, Text: "team " + t.Name + " is over its rate", RetryAfter: retry}
	}
	return p, e.hopeless(now, p)
}

func invalid(what, name string) outcome.NotRun {
	return outcome.NotRun{Reason: outcome.Invalid, Text: what + " " + name + " does not exist"}
}

func (e *Coordinator) rate(now time.Time, t team.Team) time.Duration {
	if t.RateLimit == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	next, wait := e.rates[t.Name].Take(now, t.RateLimit)
	e.rates[t.Name] = next
	return wait
}

// hopeless refuses a request whose stages together would wait past its deadline, or whose like has just
// been refused: the stages before would run for nothing.
func (e *Coordinator) hopeless(now time.Time, p plan) outcome.Outcome {
	if wait := e.crowded(now, p); wait > 0 {
		return outcome.NotRun{Reason: outcome.Overload, Text: "a stage has just refused a request like this", RetryAfter: max(minRetry, wait)}
	}
	var wait time.Duration
	for _, s := range p.stages {
		wait += e.choice.MinWait(now, e.cfg.Fleet.Candidates(s.Pool))
	}
	if wait < p.whole {
		return nil
	}
	return outcome.NotRun{Reason: outcome.Overload, Text: "the wait for its stages is longer than the deadline", RetryAfter: max(minRetry, wait-p.whole)}
}

const (
	minFull = 50 * time.Millisecond
	maxFull = 250 * time.Millisecond
)

// overloaded notes that the targets of a pool have refused a request for want of time.
func (e *Coordinator) overloaded(now time.Time, p plan, pool string, retry time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, until := range e.full {
		if !now.Before(until) {
			delete(e.full, k)
		}
	}
	e.full[crowd{pool, p.request.Team, p.priority}] = now.Add(min(max(retry, minFull), maxFull))
}

// crowded is how long requests like this one are still refused, 0 if they are not.
func (e *Coordinator) crowded(now time.Time, p plan) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var wait time.Duration
	for _, s := range p.stages {
		wait = max(wait, e.full[crowd{s.Pool, p.request.Team, p.priority}].Sub(now))
	}
	return wait
}

const minRetry = 100 * time.Millisecond

func (e *Coordinator) budget(pool string) *budget.RetryBucket {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.retries[pool]
	if !ok {
		b = budget.NewRetries()
		e.retries[pool] = b
	}
	return b
}

// Find looks a request up by team and key.
func (e *Coordinator) Find(ctx context.Context, team, key string, wait time.Duration) outcome.Outcome {
	return found(e.cfg.Fleet.Find(ctx, request.Scope(team, key), wait))
}

// found reads a ledger answer as an outcome.
func found(a ledger.Result) outcome.Outcome {
	switch a.Status {
	case ledger.Done:
		var r outcome.Record
		if err := json.Unmarshal(a.Body, &r); err != nil {
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
		return outcome.NotRun{Reason: outcome.PlatformUnavailable, Text: "the ledger cannot be reached", RetryAfter: ledgerRetry}
	}
}

const ledgerRetry = time.Second
