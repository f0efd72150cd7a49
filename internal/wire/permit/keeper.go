package permit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// errNotKeeper is the error of a node that does not keep the limits of a pool.
var errNotKeeper = merry.Sentinel("node does not keep the limits of this pool")

// idleDesk is how long the desk of a pool without claims is kept.
const idleDesk = 5 * time.Minute

// KeeperConfig holds the dependencies of a Keeper.
type KeeperConfig struct {
	// Self is the name of this node, StartedAt the time of its start.
	Self      string
	StartedAt time.Time
	Registry  func() *registry.Registry
	// NodesChangedAt returns when the list of nodes last changed.
	NodesChangedAt func() time.Time
	Notices        *notice.Keeper
	Log            logrus.FieldLogger
	Now            func() time.Time
	// IsLost reports whether a node has not answered this one since it last did; Check asks nodes whether they answer.
	IsLost func(node string) bool
	Check  func(p ratelimit.Pool, nodes []string)
}

// Keeper grants the sends of this node's part of the limits that it keeps.
type Keeper struct {
	cfg   KeeperConfig
	ranks ratelimit.Ranking
	mu    sync.Mutex
	pools map[ratelimit.Pool]*poolDesk
}

// poolDesk is the desk of one pool.
type poolDesk struct {
	pool     ratelimit.Pool
	tenure   ratelimit.Tenure
	desk     *ratelimit.Desk
	waiting  map[string]chan<- ratelimit.Decision
	timer    *time.Timer
	lastUsed time.Time
}

// NewKeeper returns a keeper without claims.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{cfg: cfg, pools: map[ratelimit.Pool]*poolDesk{}}
}

// Reserve decides on a claim; the claim waits as long as it may and its context lasts.
func (k *Keeper) Reserve(ctx context.Context, p ratelimit.Pool, c ratelimit.Claim) (ratelimit.Decision, error) {
	now := k.cfg.Now()
	decided := make(chan ratelimit.Decision, 1)
	k.mu.Lock()
	x := k.poolDesk(now, p)
	if !k.isActing(now, x) {
		k.mu.Unlock()
		return nil, errNotKeeper
	}
	x.waiting[c.ID] = decided
	x.desk.Add(c)
	k.settle(now, x)
	if _, waits := x.waiting[c.ID]; waits && !c.ReadyAt.IsZero() {
		delete(x.waiting, c.ID)
		decided <- ratelimit.Announced{}
	}
	k.mu.Unlock()
	select {
	case d, ok := <-decided:
		return d, notKeeperUnless(ok)
	case <-ctx.Done():
	}
	k.mu.Lock()
	delete(x.waiting, c.ID)
	if x.desk != nil {
		x.desk.Withdraw(c.ID)
	}
	k.mu.Unlock()
	select {
	case d, ok := <-decided:
		return d, notKeeperUnless(ok)
	default:
		return nil, ctx.Err()
	}
}

func notKeeperUnless(ok bool) error {
	if ok {
		return nil
	}
	return errNotKeeper
}

// Prepare readies this node for claims to a target that has named a limit, if it keeps the limits of the target's pool.
func (k *Keeper) Prepare(p ratelimit.Pool, t notice.Target) {
	now := k.cfg.Now()
	ranked := k.ranks.Rank(p, k.cfg.Registry())
	if !slices.Contains(ratelimit.Keepers(ranked, func(n string) bool { return n != k.cfg.Self && k.cfg.IsLost(n) }), k.cfg.Self) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.poolDesk(now, p); k.isActing(now, x) {
		x.desk.Prepare(now, t, k.rate(now)(t))
	}
}

// rate returns what this node grants a second for a target of a pool that it keeps.
func (k *Keeper) rate(now time.Time) func(notice.Target) float64 {
	board, nodes := k.cfg.Notices.Board(), len(k.cfg.Registry().NodeNames())
	return func(t notice.Target) float64 { return ratelimit.KeeperRate(board.Limit(now, t).PerSecond, nodes) }
}

// Refresh decides again on all claims after limits or the list of nodes have changed.
func (k *Keeper) Refresh() {
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for p, x := range k.pools {
		if x.desk != nil && x.desk.Len() > 0 {
			k.settle(now, x)
		}
		if len(x.waiting) == 0 && now.Sub(x.lastUsed) > idleDesk {
			delete(k.pools, p)
		}
	}
}

func (k *Keeper) poolDesk(now time.Time, p ratelimit.Pool) *poolDesk {
	x, ok := k.pools[p]
	if !ok {
		x = &poolDesk{pool: p, waiting: map[string]chan<- ratelimit.Decision{}}
		k.pools[p] = x
	}
	x.lastUsed = now
	return x
}

// isActing reports whether this node grants for a pool at now; the lock is held. If it does not, because others rank before
// it, it asks these whether they answer.
func (k *Keeper) isActing(now time.Time, x *poolDesk) bool {
	view := ratelimit.View{
		Self: k.cfg.Self, Ranked: k.ranks.Rank(x.pool, k.cfg.Registry()), IsLost: k.cfg.IsLost, StartedAt: k.cfg.StartedAt, ChangedAt: k.cfg.NodesChangedAt(),
	}
	was := x.tenure.IsActing()
	var keepers []string
	x.tenure, keepers = x.tenure.With(now, view)
	is := x.tenure.IsActing()
	switch {
	case is && !was:
		x.desk = ratelimit.NewDesk(slices.Index(keepers, k.cfg.Self))
		k.cfg.Log.WithFields(logrus.Fields{"pool": x.pool.String(), "keepers": keepers, "nodes": len(view.Ranked)}).Info("limit: keeping the limits of a pool")
	case !is && was:
		x.desk = nil
		k.cfg.Log.WithFields(logrus.Fields{"pool": x.pool.String(), "keepers": keepers, "waiting": len(x.waiting)}).Info("limit: no longer keeping the limits of a pool")
		for id, decided := range x.waiting {
			delete(x.waiting, id)
			close(decided)
		}
	}
	if !slices.Contains(ratelimit.Keepers(view.Ranked, func(string) bool { return false }), k.cfg.Self) {
		go k.cfg.Check(x.pool, view.Ahead())
	}
	return is
}

// settle decides on the claims of a pool; the lock is held.
func (k *Keeper) settle(now time.Time, x *poolDesk) {
	if !k.isActing(now, x) {
		return
	}
	settled, next := x.desk.Settle(now, k.rate(now))
	for _, s := range settled {
		if decided, ok := x.waiting[s.ID]; ok {
			delete(x.waiting, s.ID)
			decided <- s.Decision
		}
	}
	if x.timer != nil {
		x.timer.Stop()
		x.timer = nil
	}
	if !next.IsZero() {
		x.timer = time.AfterFunc(next.Sub(now), func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.settle(k.cfg.Now(), x)
		})
	}
}
