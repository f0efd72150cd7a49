package node

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"sort"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/owner"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/coordinator"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
)

const backgroundTimeout = 2 * time.Second

// catalog holds a release and its targets by name.
type catalog struct {
	release *release.Release
	targets map[string]pooledTarget
}

// pooledTarget is a target with its pool.
type pooledTarget struct {
	pool   pool.Pool
	target pool.Target
}

func (p pooledTarget) bounds() target.Bounds {
	return target.Bounds{ColdLimit: p.pool.ColdLimit, SuccessesPerStep: p.pool.WarmupSuccesses, WarmLimit: p.pool.Limit}
}

func newCatalog(r *release.Release) *catalog {
	c := &catalog{release: r, targets: map[string]pooledTarget{}}
	for _, p := range r.Set.Pools {
		for _, t := range p.Targets {
			c.targets[t.Name] = pooledTarget{pool: p, target: t}
		}
	}
	return c
}

// routes holds the candidates of each pool and the node that should own each target. It is derived from the
// member table, the catalog, the leaving VMs and the draining targets.
type routes struct {
	pools          map[string][]coordinator.Candidate
	preferredOwner map[string]string
}

// rebuildRoutes derives the routes; the caller holds changes.
func (n *Node) rebuildRoutes() {
	c, t := n.catalog.Load(), n.table.Load()
	r := &routes{pools: map[string][]coordinator.Candidate{}, preferredOwner: map[string]string{}}
	for name, p := range c.targets {
		nodes := t.LiveIn(p.target.Datacentre)
		if len(nodes) == 0 {
			nodes = t.Live()
		}
		r.preferredOwner[name] = rendezvous.First(name, nodes)
		if n.blockedReason(c, p) == "" {
			r.pools[p.pool.Name] = append(r.pools[p.pool.Name], coordinator.Candidate{Target: name, Owner: r.preferredOwner[name]})
		}
	}
	for _, list := range r.pools {
		sort.Slice(list, func(i, j int) bool { return list[i].Target < list[j].Target })
	}
	n.routes.Store(r)
}

// blockedReason returns why a target takes no new work: operators took it or its data centre out of service, its VM
// is leaving, or it reported that it is draining. It returns "" if the target takes work.
func (n *Node) blockedReason(c *catalog, p pooledTarget) string {
	switch {
	case c.release.Set.Datacentres[p.target.Datacentre].State != datacentre.InService:
		return "its data centre is out"
	case p.target.State != pool.InService:
		return "the target is out"
	case p.target.VM != "" && n.leavingVMs.Contains(p.target.VM):
		return "its VM is leaving"
	case !n.drainingTargets[p.target.Name].IsZero():
		return "the target said that it is leaving"
	}
	return ""
}

// isOutOfService reports whether operators have taken a data centre out of service.
func (n *Node) isOutOfService(name string) bool {
	r := n.Release()
	return r != nil && r.Set.Datacentres[name].State == datacentre.OutOfService
}

// checkBlocked reports whether a target takes no new work at now, and returns the rejection that it gets.
func (n *Node) checkBlocked(now time.Time, name string) (owner.Rejection, bool) {
	reject := func(reason string) (owner.Rejection, bool) {
		return owner.Rejection{Reason: outcome.NoTarget, Text: reason, RetryAfter: n.cfg.Settings.Timing.Heartbeat.Duration()}, true
	}
	if n.paused(now) {
		return reject("the owner has just been paused")
	}
	if !n.hasQuorum(now) {
		return reject("the owner hears too little of the fleet")
	}
	c := n.catalog.Load()
	p, ok := c.targets[name]
	if !ok {
		return reject("the target is not in the release")
	}
	n.changes.Lock()
	reason := n.blockedReason(c, p)
	n.changes.Unlock()
	if reason != "" {
		return reject(reason)
	}
	return owner.Rejection{}, false
}

// drainingRetention is the minimum time for which a target counts as draining after it reported so.
const drainingRetention = 5 * time.Minute

// logLimit logs a limit that a target has named, changed or ended, or one that cannot be used.
func (n *Node) logLimit(name string, perSecond float64, err error) {
	log := n.log.With("target", name)
	switch {
	case err != nil:
		log.Warn("target sent an invalid limit", err)
	case math.IsInf(perSecond, 1):
		log.Info("target names no limit any more")
	default:
		log.With("limit", perSecond).Info("target names a limit of runs a second")
	}
}

func (n *Node) markTargetDraining(name string) {
	now := n.cfg.Now()
	n.log.With("target", name).Info("target reports that it is draining")
	n.changes.Lock()
	defer n.changes.Unlock()
	n.drainingTargets[name] = now
	for other, since := range n.drainingTargets {
		if now.Sub(since) > drainingRetention {
			delete(n.drainingTargets, other)
		}
	}
	n.rebuildRoutes()
}

// setLeavingVMs replaces the leaving VMs if the list has a higher revision.
func (n *Node) setLeavingVMs(l vm.LeavingSet) {
	n.changes.Lock()
	defer n.changes.Unlock()
	if l.Revision <= n.leavingVMs.Revision {
		return
	}
	n.leavingVMs = l
	n.rebuildRoutes()
}

func (n *Node) currentLeavingVMs() vm.LeavingSet {
	n.changes.Lock()
	defer n.changes.Unlock()
	return n.leavingVMs
}

func (n *Node) releaseNumber() uint64 {
	r := n.Release()
	if r == nil {
		return 0
	}
	return r.Head.Number
}

// Candidates returns the targets of a pool that may take new work.
func (n *Node) Candidates(poolName string) []coordinator.Candidate {
	return n.routes.Load().pools[poolName]
}

// ActivateRelease activates a release and returns true, unless the active one has the same or a higher number.
func (n *Node) ActivateRelease(r *release.Release) bool {
	n.changes.Lock()
	if r.Head.Number <= n.releaseNumber() {
		n.changes.Unlock()
		return false
	}
	n.catalog.Store(newCatalog(r))
	n.raiseHighestRelease(r.Head.Number)
	n.rebuildRoutes()
	n.changes.Unlock()
	n.log.With("release", r.Head.Number).Info("release activated")
	n.applyBounds()
	go n.gossip()
	return true
}

// raiseHighestRelease updates the highest release number that the node has seen.
func (n *Node) raiseHighestRelease(number uint64) {
	for {
		old := n.highestRelease.Load()
		if number <= old || n.highestRelease.CompareAndSwap(old, number) {
			return
		}
	}
}

// HighestRelease returns the highest release number that the node has seen anywhere.
func (n *Node) HighestRelease() uint64 { return n.highestRelease.Load() }

func (n *Node) applyBounds() {
	c := n.catalog.Load()
	for _, name := range n.owner.Targets() {
		if p, ok := c.targets[name]; ok {
			n.owner.SetBounds(name, p.bounds(), p.pool.QueueLimit)
		}
	}
}

// applyHead fetches the missing chunks of the platform's head and activates its release.
func (n *Node) applyHead(ctx context.Context, value []byte) error {
	var h release.Head
	if err := json.Unmarshal(value, &h); err != nil {
		return merry.Prepend(err, "head")
	}
	current := n.Release()
	n.raiseHighestRelease(h.Number)
	if current != nil && h.Number < current.Head.Number {
		n.log.With("release", current.Head.Number).With("head", h.Number).Info("platform's head is older than the active release; ignoring it")
		return nil
	}
	if current == nil || h.Number > current.Head.Number {
		next, err := n.fetchRelease(ctx, current, h)
		if err != nil {
			return err
		}
		n.ActivateRelease(next)
	}
	n.contacts.recordPlatform(n.cfg.Now())
	return nil
}

func (n *Node) fetchRelease(ctx context.Context, current *release.Release, h release.Head) (*release.Release, error) {
	var chunks []release.Chunk
	for _, hash := range current.Missing(h) {
		o, err := n.cfg.Platform.Get(ctx, release.ChunkKind, hash)
		if err != nil {
			return nil, merry.Prependf(err, "fetch release %d", h.Number)
		}
		chunks = append(chunks, release.Chunk{Hash: hash, Data: o.Value})
	}
	return current.Build(h, chunks)
}

// refreshHead reads the head from the platform if it has not been confirmed for most of the isolation timeout.
func (n *Node) refreshHead(ctx context.Context) {
	// Heartbeats need some rounds to spread the relays' reports to all nodes; reading earlier is wasted work.
	if n.cfg.Now().Sub(n.contacts.lastPlatform()) < 3*n.cfg.Settings.Timing.IsolationTimeout.Duration()/4 {
		return
	}
	o, err := object.GetInEra(ctx, n.cfg.Platform, release.HeadKind, release.HeadName)
	if errors.Is(err, object.ErrNotFound) {
		n.contacts.recordPlatform(n.cfg.Now())
		return
	}
	if err == nil {
		err = n.applyHead(ctx, o.Object.Value)
	}
	if err != nil {
		n.log.Debug("reading the platform's head failed: " + err.Error())
	}
}
