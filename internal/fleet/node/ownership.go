package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/owner"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const acquireWidth = 8

// reconcile takes the targets that rank this node first and hands over the others.
func (n *Node) reconcile(ctx context.Context) {
	if n.Self().State != member.Live || n.Release() == nil || !n.leased(n.cfg.Now()) {
		return
	}
	c, r := n.catalog.Load(), n.routes.Load()
	slots := make(chan struct{}, acquireWidth)
	var calls sync.WaitGroup
	run := func(f func()) {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			f()
		})
	}
	for name, first := range r.first {
		if _, owned := n.owner.Epoch(name); !owned && first == n.Name() {
			run(func() { n.acquire(ctx, name, c.targets[name]) })
		}
	}
	for _, name := range n.owner.Targets() {
		if first := r.first[name]; first != n.Name() {
			run(func() { n.handOver(ctx, name) })
		}
	}
	calls.Wait()
}

// acquire makes this node the owner of a target, if the platform's record lets it.
func (n *Node) acquire(ctx context.Context, name string, p place) {
	r, version, err := n.readOwner(ctx, name)
	if err != nil {
		return
	}
	generation := n.lease.Load().Generation
	ended := version != 0 && r.Holder != "" && n.holderEnded(ctx, r)
	action := owner.DecideAction(version != 0, r, n.Name(), generation, ended)
	if action == owner.NoAction {
		return
	}
	next := r.TakenBy(n.Name(), generation)
	if action == owner.Resume {
		// A write whose answer was lost made this node the owner.
		next.Epoch = r.Epoch
	} else if _, err := n.cfg.Platform.Put(ctx, owner.Kind, name, version, next); err != nil {
		return
	}
	n.take(name, p, action, r, next.Epoch)
}

func (n *Node) take(name string, p place, action owner.Action, old owner.Record, epoch uint64) {
	now := n.cfg.Now()
	health := target.New(p.bounds())
	if action == owner.Adopt && old.Health.ConcurrencyLimit > 0 {
		health = old.Health
	}
	d := owner.NewLimiter(p.bounds(), p.pool.QueueLimit, health)
	switch action {
	case owner.Adopt:
		d.SetInherited(old.Inherited, now.Add(time.Duration(old.InheritedMs)*time.Millisecond))
	case owner.Takeover, owner.Resume:
		// What the former owner sent may still run for as long as its longest attempt.
		d.SetInherited(p.pool.Limit, now.Add(n.longest(p.pool.Name)))
		go n.probe(name, p.target.Address)
	}
	n.owner.Acquire(name, epoch, d)
	n.log.With("target", name).With("action", action).Info("target is owned here")
}

// longest is the longest time that an attempt on a pool may run.
func (n *Node) longest(poolName string) time.Duration {
	var longest time.Duration
	for _, s := range n.Release().Set.Stages {
		if s.Pool == poolName {
			longest = max(longest, s.Timeout.Duration())
		}
	}
	return longest
}

const probeEvery = 100 * time.Millisecond

// probe asks a target that was taken over whether anything still runs there, until what was left is over.
func (n *Node) probe(name, address string) {
	for n.owner.Inherited(name) > 0 {
		l, err := n.backend.Load(context.Background(), address)
		if err == nil && l.Running == 0 && l.Boot != "" {
			n.owner.ClearInherited(name)
			return
		}
		time.Sleep(probeEvery)
	}
}

// holderEnded tells whether the lease under which a target is held is over.
func (n *Node) holderEnded(ctx context.Context, r owner.Record) bool {
	l, version, err := n.readLease(ctx, r.Holder)
	if err != nil {
		return false
	}
	return version == 0 || l.Generation > r.Generation || (l.Generation == r.Generation && l.State == lease.Ended)
}

func (n *Node) readOwner(ctx context.Context, name string) (owner.Record, uint64, error) {
	o, err := n.cfg.Platform.Get(ctx, owner.Kind, name)
	if errors.Is(err, object.ErrNotFound) {
		return owner.Record{}, 0, nil
	}
	if err != nil {
		return owner.Record{}, 0, err
	}
	var r owner.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return owner.Record{}, 0, merry.Prependf(err, "owner of %s", name)
	}
	return r, o.Version, nil
}

// handOver ends owning a target and leaves what is known of it for the next owner.
func (n *Node) handOver(ctx context.Context, name string) {
	r, version, err := n.readOwner(ctx, name)
	if err != nil {
		return
	}
	p := n.catalog.Load().targets[name]
	longest := n.longest(p.pool.Name)
	health, left := n.owner.Drop(name)
	if version == 0 || r.Holder != n.Name() || r.Generation != n.lease.Load().Generation {
		return
	}
	next := r.HandedOver(health, left, longest.Milliseconds())
	if _, err := n.cfg.Platform.Put(ctx, owner.Kind, name, version, next); err != nil {
		n.log.With("target", name).Warn("target cannot be handed over", err)
		return
	}
	n.log.With("target", name).Info("target is handed over")
}

// dropAll ends owning everything, after the lease was lost.
func (n *Node) dropAll() {
	for _, name := range n.owner.Targets() {
		n.owner.Drop(name)
	}
}

// chill forgets what was known of every owned target: the process stood still and has no lease.
func (n *Node) chill() {
	n.log.Info("the process stood still; its targets count as cold")
	for _, name := range n.owner.Targets() {
		n.owner.MarkCold(name)
	}
}
