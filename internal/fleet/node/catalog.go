package node

import (
	"context"
	"encoding/json"
	"errors"
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

const pullTimeout = 2 * time.Second

// catalog is a release with its targets by name.
type catalog struct {
	release *release.Release
	targets map[string]place
}

// place is a target with its pool.
type place struct {
	pool   pool.Pool
	target pool.Target
}

func (p place) bounds() target.Bounds {
	return target.Bounds{ColdLimit: p.pool.ColdLimit, AnswersPerStep: p.pool.WarmupSuccesses, WarmLimit: p.pool.Limit}
}

func newCatalog(r *release.Release) *catalog {
	c := &catalog{release: r, targets: map[string]place{}}
	for _, p := range r.Set.Pools {
		for _, t := range p.Targets {
			c.targets[t.Name] = place{pool: p, target: t}
		}
	}
	return c
}

// routes is derived from the table, the catalog and what is leaving.
type routes struct {
	pools map[string][]coordinator.Candidate
	first map[string]string
}

// reroute derives the routes anew; the caller holds changes.
func (n *Node) reroute() {
	c, t := n.catalog.Load(), n.table.Load()
	r := &routes{pools: map[string][]coordinator.Candidate{}, first: map[string]string{}}
	for name, p := range c.targets {
		nodes := t.LiveIn(p.target.Datacentre)
		if len(nodes) == 0 {
			nodes = t.Live()
		}
		r.first[name] = rendezvous.First(name, nodes)
		if n.refusal(c, p) == "" {
			r.pools[p.pool.Name] = append(r.pools[p.pool.Name], coordinator.Candidate{Target: name, Owner: r.first[name]})
		}
	}
	for _, list := range r.pools {
		sort.Slice(list, func(i, j int) bool { return list[i].Target < list[j].Target })
	}
	n.routes.Store(r)
}

// refusal says why a target takes no new work by the operators' will, its own or its VM's; "" if it does.
func (n *Node) refusal(c *catalog, p place) string {
	switch {
	case c.release.Set.Datacentres[p.target.Datacentre].State != datacentre.InService:
		return "its data centre is out"
	case p.target.State != pool.InService:
		return "the target is out"
	case p.target.VM != "" && n.leavers.Contains(p.target.VM):
		return "its VM is leaving"
	case !n.said[p.target.Name].IsZero():
		return "the target said that it is leaving"
	}
	return ""
}

// out tells whether operators have taken a data centre out.
func (n *Node) out(name string) bool {
	r := n.Release()
	return r != nil && r.Set.Datacentres[name].State == datacentre.OutOfService
}

// barred tells why a target takes no new work at now, if so.
func (n *Node) barred(now time.Time, name string) (owner.Rejection, bool) {
	refuse := func(text string) (owner.Rejection, bool) {
		return owner.Rejection{Reason: outcome.NoTarget, Text: text, RetryAfter: n.cfg.Settings.Timing.Heartbeat.Duration()}, true
	}
	if n.paused(now) {
		return refuse("the owner has just been paused")
	}
	if !n.open(now) {
		return refuse("the owner hears too little of the fleet")
	}
	c := n.catalog.Load()
	p, ok := c.targets[name]
	if !ok {
		return refuse("the target is not in the release")
	}
	n.changes.Lock()
	text := n.refusal(c, p)
	n.changes.Unlock()
	if text != "" {
		return refuse(text)
	}
	return owner.Rejection{}, false
}

// sayingMemory is how long a target's word that it is leaving holds.
const sayingMemory = 5 * time.Minute

func (n *Node) targetLeaves(name string) {
	now := n.cfg.Now()
	n.log.With("target", name).Info("target says that it is leaving")
	n.changes.Lock()
	defer n.changes.Unlock()
	n.said[name] = now
	for other, at := range n.said {
		if now.Sub(at) > sayingMemory {
			delete(n.said, other)
		}
	}
	n.reroute()
}

// learnLeavers takes in a later list of leaving VMs.
func (n *Node) learnLeavers(l vm.LeavingSet) {
	n.changes.Lock()
	defer n.changes.Unlock()
	if l.Revision <= n.leavers.Revision {
		return
	}
	n.leavers = l
	n.reroute()
}

func (n *Node) currentLeavers() vm.LeavingSet {
	n.changes.Lock()
	defer n.changes.Unlock()
	return n.leavers
}

func (n *Node) releaseNumber() uint64 {
	r := n.Release()
	if r == nil {
		return 0
	}
	return r.Head.Number
}

// Candidates lists the targets of a pool that may take new work.
func (n *Node) Candidates(poolName string) []coordinator.Candidate {
	return n.routes.Load().pools[poolName]
}

// ActivateRelease puts a release in force unless the node has one as high; true if it did.
func (n *Node) ActivateRelease(r *release.Release) bool {
	n.changes.Lock()
	if r.Head.Number <= n.releaseNumber() {
		n.changes.Unlock()
		return false
	}
	n.catalog.Store(newCatalog(r))
	n.raise(r.Head.Number)
	n.reroute()
	n.changes.Unlock()
	n.log.With("release", r.Head.Number).Info("release is in force")
	n.resize()
	go n.spread()
	return true
}

// raise keeps the highest release number that was ever seen.
func (n *Node) raise(number uint64) {
	for {
		old := n.highest.Load()
		if number <= old || n.highest.CompareAndSwap(old, number) {
			return
		}
	}
}

// HighestRelease is the highest release number that the node has seen anywhere.
func (n *Node) HighestRelease() uint64 { return n.highest.Load() }

func (n *Node) resize() {
	c := n.catalog.Load()
	for _, name := range n.owner.Targets() {
		if p, ok := c.targets[name]; ok {
			n.owner.SetBounds(name, p.bounds(), p.pool.QueueLimit)
		}
	}
}

// takeHead follows the platform's head: it fetches what is missing and puts the release in force.
func (n *Node) takeHead(ctx context.Context, value []byte) error {
	var h release.Head
	if err := json.Unmarshal(value, &h); err != nil {
		return merry.Prepend(err, "head")
	}
	own := n.Release()
	n.raise(h.Number)
	if own != nil && h.Number < own.Head.Number {
		n.log.With("release", own.Head.Number).With("head", h.Number).Info("platform's head is lower than the release in force; it is not followed")
		return nil
	}
	if own == nil || h.Number > own.Head.Number {
		next, err := n.fetch(ctx, own, h)
		if err != nil {
			return err
		}
		n.ActivateRelease(next)
	}
	n.hearing.fresh(n.cfg.Now())
	return nil
}

func (n *Node) fetch(ctx context.Context, own *release.Release, h release.Head) (*release.Release, error) {
	var fresh []release.Chunk
	for _, hash := range own.Missing(h) {
		o, err := n.cfg.Platform.Get(ctx, release.ChunkKind, hash)
		if err != nil {
			return nil, merry.Prependf(err, "fetch release %d", h.Number)
		}
		fresh = append(fresh, release.Chunk{Hash: hash, Data: o.Value})
	}
	return own.Build(h, fresh)
}

// refresh asks the platform for the head itself when no news of it has come for a while.
func (n *Node) refresh(ctx context.Context) {
	// Heartbeats need some rounds to bring the relays' word everywhere; asking before that is waste.
	if n.cfg.Now().Sub(n.hearing.freshest()) < 3*n.cfg.Settings.Timing.IsolationTimeout.Duration()/4 {
		return
	}
	o, err := n.cfg.Platform.Get(ctx, release.HeadKind, release.HeadName)
	if errors.Is(err, object.ErrNotFound) {
		n.hearing.fresh(n.cfg.Now())
		return
	}
	if err == nil {
		err = n.takeHead(ctx, o.Value)
	}
	if err != nil {
		n.log.Debug("head cannot be read: " + err.Error())
	}
}
