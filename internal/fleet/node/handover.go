package node

import (
	"context"
	"slices"
	"sync"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/owner"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/target"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// handover is what the next owner has to know of a target.
type handover struct {
	epoch     uint64
	health    target.Health
	inherited int
}

// handovers holds the targets that this node no longer owns and whose records still say that it does.
type handovers struct {
	mu       sync.Mutex
	byTarget map[string]handover
}

// begin stops owning a target and returns what the next owner has to know, also if an earlier try has stopped owning it; false if this
// node has nothing to hand over.
func (h *handovers) begin(o *owner.Owner, name string) (handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch, owned := o.Epoch(name); owned {
		health, inherited := o.Drop(name)
		h.byTarget[name] = handover{epoch: epoch, health: health, inherited: inherited}
	}
	x, ok := h.byTarget[name]
	return x, ok
}

func (h *handovers) forget(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byTarget, name)
}

func (h *handovers) targets() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for name := range h.byTarget {
		list = append(list, name)
	}
	return list
}

// toHandOver returns the targets that this node owns or has not handed over completely.
func (n *Node) toHandOver() []string {
	list := append(n.owner.Targets(), n.handovers.targets()...)
	slices.Sort(list)
	return slices.Compact(list)
}

// handOver stops owning a target and records its health and its running attempts for the next owner. If that cannot be written, the
// next call tries again.
func (n *Node) handOver(ctx context.Context, name string) {
	read, err := n.readOwner(ctx, name)
	if err != nil {
		n.log.With("target", name).Warn("reading the owner of a target to hand over failed", err)
		return
	}
	r, generation := read.record, n.lease.Load().Generation
	p := n.catalog.Load().targets[name]
	maxTime := n.maxAttemptTime(p.pool.Name)
	x, ok := n.handovers.begin(n.owner, name)
	if !ok {
		return
	}
	if read.isFormer || !read.found {
		// The platform has lost the record, or has an older one.
		r = owner.Record{Holder: n.Name(), Generation: generation, Epoch: x.epoch}
	}
	if r.Holder != n.Name() || r.Generation != generation {
		n.handovers.forget(name)
		return
	}
	next := r.HandedOver(x.health, x.inherited, maxTime.Milliseconds())
	if _, err := n.cfg.Platform.Put(ctx, owner.Kind, object.NameInEra(name, read.era), read.version, next); err != nil {
		n.log.With("target", name).Warn("handing over target failed", err)
		return
	}
	n.handovers.forget(name)
	n.log.With("target", name).Info("handed over target")
}

// handOverAll hands over all targets, and tries again until that has succeeded or ctx has ended.
func (n *Node) handOverAll(ctx context.Context) {
	for ctx.Err() == nil {
		targets := n.toHandOver()
		if len(targets) == 0 {
			return
		}
		for _, name := range targets {
			n.handOver(ctx, name)
		}
		if len(n.toHandOver()) > 0 {
			sleep(ctx, n.cfg.Settings.Timing.Heartbeat.Duration())
		}
	}
}
