package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

const (
	// A call is overdue after overdueFactor times its expected duration plus overdueExtra, which is beyond the spread
	// of healthy calls.
	overdueFactor = 1.6
	overdueExtra  = 150 * time.Millisecond
	// abandonFactor times the expected duration plus overdueExtra ends a call; targets that are slow by less still
	// finish theirs.
	abandonFactor = 8
	// maxAttempts bounds the calls that one piece may be in.
	maxAttempts = 3
	// freeInterval is how long freed results are collected for one call.
	freeInterval = 20 * time.Millisecond
	// freeTimeout bounds that call; a result that it misses expires by its TTL.
	freeTimeout = time.Second
	// fetchTime bounds how long after the start of a call a target has fetched the inputs of its pieces: a few round
	// trips and some megabytes over a gigabit link.
	fetchTime = 40 * time.Millisecond
	// heartbeatInterval is how often a dispatcher reports that it still works on a group.
	heartbeatInterval = 300 * time.Millisecond
	// recheckInterval is how often a scheduler is rechecked whose targets hold untracked results.
	recheckInterval = 200 * time.Millisecond
	// configWait bounds how long a group waits for a node's first configuration, which arrives some 20 ms after the
	// start if the store is available. It is below the time after which a dispatcher counts as unresponsive.
	configWait = 200 * time.Millisecond
	// idleInterval is the time between two looks at the groups of a dispatcher whose node stops.
	idleInterval = 5 * time.Millisecond
	// probeTimeout bounds a request for a target's space.
	probeTimeout = 300 * time.Millisecond
)

// The reasons why a dispatcher accepts no groups; another dispatcher may run them.
var (
	ErrNoConfig = merry.Sentinel("desk has no configuration yet")
	ErrDraining = merry.Sentinel("desk is leaving")
)

// TargetClient calls stage targets; record is called with the notices of a response.
type TargetClient interface {
	// RunBatch makes one call. An error means that no piece has a result.
	RunBatch(ctx context.Context, now time.Time, t registry.Target, pieces []batch.Piece, record notice.Recorder) (batch.Reply, error)
	// AvailableSpace asks a target for the space that it has left for results.
	AvailableSpace(ctx context.Context, t registry.Target, record notice.Recorder) (batch.Space, error)
	// Free frees results on the target at an address.
	Free(ctx context.Context, address string, handles []string, record notice.Recorder) error
}

// Meter records the metrics of a dispatcher.
type Meter interface {
	// RecordStageCall counts a call by its result, with its number of pieces and the most that it could have had.
	RecordStageCall(service, result string, pieces, capacity int, took time.Duration)
	// RecordRejectedGroup counts a group that was refused or expired.
	RecordRejectedGroup(service, reason string)
	// SetQueuedPieces sets the number of queued pieces.
	SetQueuedPieces(service string, pieces int)
	// CountCrash counts a crash of a target of a service under a call, by how far its response had come.
	CountCrash(service, progress string)
	// SetWorkTimes sets the least and the greatest factor by which the targets of a service take longer than its batch profile says.
	SetWorkTimes(service string, least, greatest float64)
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	Targets TargetClient
	Table   func() *route.Table
	// Ready is closed once there is a table.
	Ready    <-chan struct{}
	Registry func() *registry.Registry
	Notices  *notice.Keeper
	// Self is the name of this node.
	Self       string
	Permits    Permits
	Log        logrus.FieldLogger
	Now        func() time.Time
	Meter      Meter
	Quarantine *quarantine.Keeper
	// Rollouts may be nil for a deployment without rollouts.
	Rollouts *rollout.Keeper
	// CrashedRun returns the run of a target that has crashed, and false if it has not.
	CrashedRun func(ctx context.Context, t registry.Target) (notice.Target, bool)
	// TakeTrial reports whether this node may send pieces in quarantine to a target for the fleet; PassTrial is called when they
	// were made.
	TakeTrial func(context.Context, quarantine.Trait) bool
	PassTrial func(quarantine.Trait)
	// AllowRetry asks the retry budget of the service for one more send of a piece.
	AllowRetry func(now time.Time, service string) bool
	// RecordFirstSend counts the first send of a piece.
	RecordFirstSend func(now time.Time, service string)
}

// Dispatcher queues pieces and batches them into calls to stage targets.
type Dispatcher struct {
	cfg          Config
	mu           sync.Mutex
	schedulers   map[string]*shardScheduler
	groups       map[uint64]*group
	lastGroupID  uint64
	pendingFrees map[string][]string
	// limitedFrees holds the results to be freed at limited targets, by address.
	limitedFrees map[string][]string
	freeTimer    *time.Timer
	// unknownFigures holds the services whose targets report load figures that are not used.
	unknownFigures map[string]bool
	// draining is set when the node stops: other dispatchers take new groups.
	draining atomic.Bool
}

// New returns a dispatcher without pieces.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, schedulers: map[string]*shardScheduler{}, groups: map[uint64]*group{}, pendingFrees: map[string][]string{}, limitedFrees: map[string][]string{}, unknownFigures: map[string]bool{}}
}

// Drain makes the dispatcher decline new groups; those that it already has still run.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// AwaitIdle waits until the dispatcher has no piece left and targets have been told of all results to be freed. It returns the number of
// groups that were left when ctx ended.
func (d *Dispatcher) AwaitIdle(ctx context.Context) int {
	for {
		d.mu.Lock()
		groups, frees := len(d.groups), len(d.pendingFrees)
		d.mu.Unlock()
		if groups+frees == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return groups
		case <-time.After(idleInterval):
		}
	}
}

// awaitConfig waits up to configWait for the first configuration of a node that has just started, and returns the
// result of CheckAccepting.
func (d *Dispatcher) awaitConfig(ctx context.Context) error {
	wait := time.NewTimer(configWait)
	defer wait.Stop()
	select {
	case <-d.cfg.Ready:
	case <-wait.C:
	case <-ctx.Done():
	}
	return d.CheckAccepting()
}

// CheckAccepting returns the reason why the dispatcher accepts no groups, or nil if it does.
func (d *Dispatcher) CheckAccepting() error {
	switch {
	case d.draining.Load():
		return ErrDraining
	case d.cfg.Table() == nil:
		return ErrNoConfig
	default:
		return nil
	}
}

// shardScheduler is the scheduler of one shard of a service.
type shardScheduler struct {
	*batch.Scheduler
	service string
	shard   string
	// recheckScheduled is set while a recheck is pending.
	recheckScheduled bool
	placement
}

// group is the state of a group that has pieces without an outcome.
type group struct {
	batch.Group
	id uint64
	// isTrial is set if the group is in quarantine and tried once.
	isTrial bool
	results []batch.Result
	pieces  []pieceProgress
	// unfinished counts the pieces without an outcome; finished is closed when it reaches 0.
	unfinished int
	finished   chan struct{}
	// unfetched counts the pieces whose inputs no target has fetched yet; inputsFetched is closed fetchTime after it
	// reaches 0.
	unfetched     int
	inputsFetched chan struct{}
}

// pieceProgress is the state of one piece.
type pieceProgress struct {
	done    bool
	sent    bool
	fetched bool
	// inFlight counts the calls that the piece is in.
	inFlight int
}

// Callbacks are called as a group progresses.
type Callbacks struct {
	// OnQueued is called with the expected wait before the group's call.
	OnQueued func(wait time.Duration)
	// OnInputsFetched is called once the inputs of the group are no longer needed, unless a call fails.
	OnInputsFetched func()
	// OnHeartbeat is called every heartbeatInterval while the group waits; it may be nil.
	OnHeartbeat func()
}

// HasRoom reports whether the targets that hold a group's results have room for them until their readers have ended.
func (d *Dispatcher) HasRoom(g batch.Group, results []batch.Result) bool {
	addresses := map[string]bool{}
	for _, r := range results {
		if r.Handle != "" {
			addresses[batch.HandleAddress(r.Handle)] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	profile, ok := d.batchProfile(g.Service)
	return ok && d.scheduler(g.Service, g.Datacentre).HasRoom(d.cfg.Now(), profile, addresses)
}

// Produce queues a group and waits for its results.
func (d *Dispatcher) Produce(ctx context.Context, g batch.Group, cb Callbacks) ([]batch.Result, error) {
	if err := g.Validate(); err != nil {
		d.recordRejected(d.cfg.Now(), g, "refused", err)
		return nil, err
	}
	cleared, err := d.clear(ctx, g)
	if err != nil {
		d.recordRejected(d.cfg.Now(), g, "refused", err)
		return nil, err
	}
	now := d.cfg.Now()
	d.mu.Lock()
	s := d.scheduler(g.Service, g.Datacentre)
	profile, wait, err := d.admit(now, s, g)
	if err != nil {
		d.mu.Unlock()
		d.recordRejected(now, g, "refused", err)
		return nil, err
	}
	d.lastGroupID++
	x := &group{Group: g, id: d.lastGroupID, isTrial: cleared.isTrial, results: make([]batch.Result, g.Count), pieces: make([]pieceProgress, g.Count), unfinished: g.Count, finished: make(chan struct{}), unfetched: g.Count, inputsFetched: make(chan struct{})}
	d.groups[x.id] = x
	for i := range g.Count {
		s.Add(batch.Piece{Group: &x.Group, GroupID: x.id, Index: i, Alone: cleared.isAlone})
	}
	d.startCalls(now, s, profile)
	d.mu.Unlock()
	cb.OnQueued(wait)
	fetched := x.inputsFetched
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	expiry := time.NewTimer(g.StartByDeadline.Sub(now) + time.Millisecond)
	defer expiry.Stop()
	for {
		select {
		case <-x.finished:
			return x.results, nil
		case <-fetched:
			fetched = nil
			cb.OnInputsFetched()
		case <-heartbeat.C:
			if cb.OnHeartbeat != nil {
				cb.OnHeartbeat()
			}
		case <-expiry.C:
			d.mu.Lock()
			d.expireLate(d.cfg.Now(), s, profile)
			d.mu.Unlock()
		case <-ctx.Done():
			d.dropGroup(x, s)
			return nil, ctx.Err()
		}
	}
}

// admit refuses a group that could not start in time.
func (d *Dispatcher) admit(now time.Time, s *shardScheduler, g batch.Group) (route.BatchProfile, time.Duration, error) {
	if d.cfg.Table() == nil {
		return route.BatchProfile{}, 0, ErrNoConfig
	}
	profile, ok := d.batchProfile(g.Service)
	if !ok {
		return profile, 0, &batch.RejectedError{Reason: "service runs no stages"}
	}
	d.updateTargets(now, s)
	d.probeTargets(now, s, profile)
	wait, err := s.Admit(now, profile, g)
	return profile, wait, err
}

func (d *Dispatcher) batchProfile(service string) (route.BatchProfile, bool) {
	t := d.cfg.Table()
	if t == nil {
		return route.BatchProfile{}, false
	}
	s, ok := t.Service(service)
	return s.Batch, ok && s.Batch.MaxSize > 0
}

func (d *Dispatcher) scheduler(service, shard string) *shardScheduler {
	key := service + "@" + shard
	s, ok := d.schedulers[key]
	if !ok {
		s = &shardScheduler{Scheduler: batch.NewScheduler(), service: service, shard: shard}
		d.schedulers[key] = s
	}
	return s
}

// updateTargets tells a scheduler the usable targets of its shard and which of them are paused or limited; the lock is held.
func (d *Dispatcher) updateTargets(now time.Time, s *shardScheduler) {
	board := d.cfg.Notices.Board()
	var list []registry.Target
	pauses := map[string]time.Time{}
	limits := map[string]batch.Limit{}
	for _, t := range d.cfg.Registry().Usable(s.service) {
		if (s.shard != "" && t.Datacentre != s.shard) || board.Leaving(t.Run()) {
			continue
		}
		list = append(list, t)
		if until := board.PausedUntil(now, t.Run()); !until.IsZero() {
			pauses[t.ID] = until
		}
		if limit := limitOf(now, board, t.Run()); limit.IsSet() {
			limits[t.ID] = limit
		}
	}
	d.pauseForRollout(now, s, list, pauses)
	s.SetTargets(now, list)
	s.SetPauses(pauses)
	s.SetLimits(limits)
}

// recorder returns the function that records what a target says of itself in the response to a call that starts now.
func (d *Dispatcher) recorder(t notice.Target) notice.Recorder {
	sentAt := d.cfg.Now()
	return func(list []notice.Notice, err error) {
		d.cfg.Notices.Record(d.cfg.Now(), t, notice.Response{SentAt: sentAt, Notices: list, Err: err})
	}
}

// Refresh updates every scheduler that has queued pieces after the registry or the space of targets has changed.
func (d *Dispatcher) Refresh() {
	now := d.cfg.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.schedulers {
		if s.Len() == 0 {
			continue
		}
		if profile, ok := d.batchProfile(s.service); ok {
			d.updateTargets(now, s)
			d.probeTargets(now, s, profile)
			d.startCalls(now, s, profile)
		}
	}
}

// startCalls expires late groups and starts every call that can start; the lock is held.
func (d *Dispatcher) startCalls(now time.Time, s *shardScheduler, profile route.BatchProfile) {
	d.expireLate(now, s, profile)
	d.dropQuarantined(now, s)
	s.StartRound()
	defer d.claimTargets(now, s, profile)
	defer d.scheduleHeldCheck(now, s)
	for {
		c, ok := s.NextCall(now, profile)
		if !ok {
			return
		}
		inRollout, isPermitted := d.cfg.Rollouts.Begin(now, rollout.SendRequest{Target: c.Target, Count: len(c.Pieces)})
		if !isPermitted {
			// The pauses are those of the latest update of the targets, and the rollout may have gone on since then.
			s.Return(c)
			d.updateTargets(now, s)
			continue
		}
		c.Rollout = inRollout
		c.StartsAtOnce = c.StartsAtOnce && d.hasShard(s)
		for _, p := range c.Pieces {
			g := d.groups[p.GroupID]
			if g == nil {
				continue
			}
			x := &g.pieces[p.Index]
			x.inFlight++
			if !x.sent {
				x.sent = true
				d.cfg.RecordFirstSend(now, s.service)
			}
			if c.StartsAtOnce {
				d.markFetched(g, p.Index)
			}
		}
		d.logCallStarted(s, c, profile)
		if c.Rollout.IsTracked() {
			// The call may have used up the share of the new version.
			d.updateTargets(now, s)
		}
		go d.runCall(s, c, profile)
	}
}

// hasShard reports whether this is the dispatcher to which nodes pass the groups of a shard. One that has handed over the shard runs its last
// groups beside those of its successor, and its calls may wait for the other's.
func (d *Dispatcher) hasShard(s *shardScheduler) bool {
	if d.draining.Load() {
		return false
	}
	name := nodeOfShard(d.cfg.Registry(), s.service, s.shard, func(registry.Node) bool { return true })
	return name == "" || name == d.cfg.Self
}

// logCallStarted logs a call with the requests whose pieces are in it.
func (d *Dispatcher) logCallStarted(s *shardScheduler, c *batch.Call, profile route.BatchProfile) {
	d.cfg.Meter.SetQueuedPieces(s.service, s.Len())
	fields := logrus.Fields{
		"service": s.service, "target": c.Target.ID, "datacentre": c.Target.Datacentre, "revision": c.Target.Version.Revision(), "pieces": len(c.Pieces), "places": profile.MaxSize,
		"waiting": c.QueueLength, "held": c.HeldBytes, "hidden": c.UntrackedBytes, "sure": c.StartsAtOnce, "expected_ms": c.Expected.Milliseconds(), "requests": c.Requests(),
	}
	addSpeedFields(fields, c)
	if limit := d.cfg.Notices.Board().Limit(c.Started, c.Target.Run()); limit.IsSet() {
		fields["limit"] = limit.PerSecond
	}
	d.cfg.Log.WithFields(fields).Info("desk: stage call begun")
}

// recordRejected logs and counts a group that was refused or expired.
func (d *Dispatcher) recordRejected(now time.Time, g batch.Group, reason string, err error) {
	d.cfg.Meter.RecordRejectedGroup(g.Service, reason)
	fields := logrus.Fields{
		"request": g.Request, "service": g.Service, "stage": g.Stage, "pieces": g.Count, "priority": g.Priority,
		"aim_ms": g.StartByObjective.Sub(now).Milliseconds(), "last_ms": g.StartByDeadline.Sub(now).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	d.cfg.Log.WithFields(fields).Info("desk: group " + reason)
}

// markFetched records that a target has, or within fetchTime will have, the inputs of a piece; the lock is held.
func (d *Dispatcher) markFetched(g *group, index int) {
	if g.pieces[index].fetched {
		return
	}
	g.pieces[index].fetched = true
	g.unfetched--
	if g.unfetched == 0 {
		time.AfterFunc(fetchTime, func() { close(g.inputsFetched) })
	}
}
