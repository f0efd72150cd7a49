package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/owner"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const maxOwnershipCalls = 8

// reconcile takes the targets that rank this node first and hands over the others.
func (n *Node) reconcile(ctx context.Context) {
	if n.Self().State != member.Live || n.Release() == nil || !n.hasLease(n.cfg.Now()) {
		return
	}
	c, r := n.catalog.Load(), n.routes.Load()
	slots := make(chan struct{}, maxOwnershipCalls)
	var calls sync.WaitGroup
	var waitsForEra atomic.Bool
	run := func(f func()) {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			f()
		})
	}
	for name, preferred := range r.preferredOwner {
		if _, owned := n.owner.Epoch(name); !owned && preferred == n.Name() {
			run(func() {
				if errors.Is(n.acquire(ctx, name, c.targets[name]), errEraUnsettled) {
					waitsForEra.Store(true)
				}
			})
		}
	}
	for _, name := range n.toHandOver() {
		if preferred := r.preferredOwner[name]; preferred != n.Name() {
			run(func() { n.handOver(ctx, name) })
		}
	}
	calls.Wait()
	if waitsForEra.Load() {
		n.askEras(ctx)
	}
}

var errEraUnsettled = merry.Sentinel("another node may own the target without a record in this era")

// acquire makes this node the owner of a target if the platform's record allows it.
func (n *Node) acquire(ctx context.Context, name string, p pooledTarget) error {
	read, err := n.readOwner(ctx, name)
	if err != nil {
		return err
	}
	if (read.isFormer || !read.found) && !n.mayTakeFromFormerEra(n.cfg.Now()) {
		return errEraUnsettled
	}
	r := read.record
	generation := n.lease.Load().Generation
	// Whoever owned the target in a former era and lives would have written so by now.
	ended := read.isFormer || (read.found && r.Holder != "" && n.isHolderLeaseEnded(ctx, r))
	action := owner.DecideAction(read.found, r, n.Name(), generation, ended)
	if action == owner.Resume && read.isFormer {
		action = owner.Takeover
	}
	if action == owner.NoAction {
		return nil
	}
	next := r.TakenBy(n.Name(), generation)
	next.Epoch = max(next.Epoch, firstEpoch(read.era))
	if action == owner.Resume {
		// This node became the owner by a write whose response was lost.
		next.Epoch = r.Epoch
	} else if _, err := n.cfg.Platform.Put(ctx, owner.Kind, object.NameInEra(name, read.era), read.version, next); err != nil {
		return err
	}
	n.startOwning(name, p, action, r, next.Epoch)
	if n.cfg.Platform.Era() != read.era {
		// The era that began meanwhile did not find this target among the owned ones.
		n.owner.Drop(name)
	}
	return nil
}

func (n *Node) startOwning(name string, p pooledTarget, action owner.Action, former owner.Record, epoch uint64) {
	now := n.cfg.Now()
	health := target.New(p.bounds())
	if action == owner.Adopt && former.Health.ConcurrencyLimit > 0 {
		health = former.Health
	}
	limiter := owner.NewLimiter(p.bounds(), p.pool.QueueLimit, health)
	switch action {
	case owner.Adopt:
		limiter.SetInherited(former.Inherited, now.Add(time.Duration(former.InheritedMs)*time.Millisecond))
	case owner.Takeover, owner.Resume:
		// Attempts of the former owner may still run for as long as the longest timeout allows.
		limiter.SetInherited(p.pool.Limit, now.Add(n.maxAttemptTime(p.pool.Name)))
		go n.probeInherited(name, p.target.Address)
	}
	n.handovers.forget(name)
	n.owner.Acquire(name, epoch, limiter)
	n.log.With("target", name).With("action", action).Info("took ownership of target")
}

// maxAttemptTime returns the longest time that an attempt on a pool may run.
func (n *Node) maxAttemptTime(poolName string) time.Duration {
	var maxTime time.Duration
	for _, s := range n.Release().Set.Stages {
		if s.Pool == poolName {
			maxTime = max(maxTime, s.Timeout.Duration())
		}
	}
	return maxTime
}

const probeInterval = 100 * time.Millisecond

// probeInherited polls a target that was taken over until it reports that it runs nothing, or until the inherited
// attempts must have ended.
func (n *Node) probeInherited(name, address string) {
	for n.owner.Inherited(name) > 0 {
		l, err := n.backend.Load(context.Background(), address)
		if err == nil && l.Running == 0 && l.BootID != "" {
			n.owner.ClearInherited(name)
			return
		}
		time.Sleep(probeInterval)
	}
}

// isHolderLeaseEnded reports whether the lease under which a target is held has ended.
func (n *Node) isHolderLeaseEnded(ctx context.Context, r owner.Record) bool {
	read, err := n.readLease(ctx, r.Holder)
	if err != nil {
		return false
	}
	l := read.record
	return !read.found || l.Generation > r.Generation || (l.Generation == r.Generation && l.State == lease.Ended)
}

func (n *Node) readOwner(ctx context.Context, name string) (stored[owner.Record], error) {
	return readInEra[owner.Record](ctx, n.cfg.Platform, owner.Kind, name)
}

// dropAllTargets stops owning all targets after the lease was lost.
func (n *Node) dropAllTargets() {
	for _, name := range n.owner.Targets() {
		n.owner.Drop(name)
	}
}

// markAllCold marks every owned target as cold, since the process was paused and has no lease.
func (n *Node) markAllCold() {
	n.log.Info("process was paused without a lease; marking owned targets as cold")
	for _, name := range n.owner.Targets() {
		n.owner.MarkCold(name)
	}
}
