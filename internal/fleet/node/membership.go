package node

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const witnessesPerNode = 2

// leaseLoop joins the fleet and renews the lease; after a lost lease it joins again under a new generation.
func (n *Node) leaseLoop(ctx context.Context) {
	interval := n.cfg.Settings.Timing.RenewInterval.Duration()
	for ctx.Err() == nil && !n.leaseGivenUp.Load() {
		if err := n.join(ctx); err != nil {
			n.log.Debug("joining the fleet failed: " + err.Error())
			sleep(ctx, n.cfg.Settings.Timing.Heartbeat.Duration())
			continue
		}
		for ctx.Err() == nil && !n.lease.Load().Revoked {
			sleep(ctx, interval)
			if ctx.Err() == nil {
				n.renew(ctx)
			}
		}
	}
}

// join takes the node's lease and makes the node live.
func (n *Node) join(ctx context.Context) error {
	former, err := n.readLease(ctx, n.Name())
	if err != nil {
		return err
	}
	if former.found && former.record.State == lease.Held {
		n.log.Info("waiting for the previous lease of this node name to expire")
		if err := n.informFormerWitnesses(ctx, former.record); err != nil {
			return err
		}
		if err := n.awaitLeaseExpiry(ctx, n.Name(), former.version); err != nil {
			return err
		}
	}
	if !former.found {
		n.witness.markFirstProcess()
	}
	now := n.cfg.Now()
	generation := max(uint64(now.UnixMilli()), former.record.Generation+1, n.Self().Generation)
	witnesses := witnessesFor(n.table.Load(), n.Self())
	n.addWitnesses(witnesses)
	o, err := n.cfg.Platform.Put(ctx, lease.Kind, object.NameInEra(n.Name(), former.era), former.version, lease.Record{Generation: generation, State: lease.Held, Witnesses: witnesses})
	if err != nil {
		return merry.Prepend(err, "join")
	}
	n.setWitnesses(witnesses)
	l := lease.Lease{Generation: generation}.Renewed(now, o.Version, n.leaseTerms)
	n.lease.Store(&l)
	n.updateSelf(func(m member.Member) member.Member {
		m.Generation = generation
		return m.WithState(member.Live, now)
	})
	n.log.With("generation", generation).Info("joined the fleet")
	return nil
}

// awaitLeaseExpiry returns once the lease has been observed without a renewal for long enough to have expired.
func (n *Node) awaitLeaseExpiry(ctx context.Context, name string, version object.Version) error {
	observed := lease.Observation{}.Observed(version, n.cfg.Now())
	for !observed.Expired(n.cfg.Now(), n.leaseTerms) {
		sleep(ctx, n.cfg.Settings.Timing.Heartbeat.Duration())
		r, err := n.readLease(ctx, name)
		if err != nil {
			return err
		}
		if r.record.State == lease.Ended {
			return merry.New("lease ended before it expired")
		}
		observed = observed.Observed(r.version, n.cfg.Now())
		if observed.Version != version {
			return merry.Errorf("another process renews the lease of %s", name)
		}
	}
	return nil
}

// readLease returns a node's lease record.
func (n *Node) readLease(ctx context.Context, name string) (stored[lease.Record], error) {
	return readInEra[lease.Record](ctx, n.cfg.Platform, lease.Kind, name)
}

// updateSelf changes the node's own row and sends it to the platform and to peers.
func (n *Node) updateSelf(change func(member.Member) member.Member) {
	m := change(n.Self())
	n.self.Store(&m)
	n.mergeMembers([]member.Member{m})
	go n.publishMember(m)
	go n.gossip()
}

// publishMember writes a row to the platform unless the platform has a newer one.
func (n *Node) publishMember(m member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	version := object.Version(0)
	for range 3 {
		_, err := n.cfg.Platform.Put(ctx, member.Kind, m.Name, version, m)
		var conflict *object.ConflictError
		if !errors.As(err, &conflict) {
			return
		}
		var stored member.Member
		if json.Unmarshal(conflict.Current.Value, &stored) == nil && !m.Newer(stored) {
			return
		}
		version = conflict.Current.Version
	}
}

// mergeMembers merges newer rows into the member table.
func (n *Node) mergeMembers(rows []member.Member) {
	n.changes.Lock()
	defer n.changes.Unlock()
	next, changed := n.table.Load().Merge(n.cfg.Now(), rows)
	if !changed {
		return
	}
	n.table.Store(next)
	n.rebuildRoutes()
}

// renew renews the lease at the platform or, while that is unreachable, by the vouching of all witnesses.
func (n *Node) renew(ctx context.Context) {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	if n.leaseGivenUp.Load() {
		return
	}
	now := n.cfg.Now()
	l := *n.lease.Load()
	witnesses := witnessesFor(n.table.Load(), n.Self())
	n.addWitnesses(witnesses)
	era, version := n.cfg.Platform.Era(), l.Version
	if version.Era() < era {
		// The record of the former era may be an older one of this node, or of another process under its name.
		if !l.Valid(now) {
			n.revokeLease(l)
			return
		}
		version = 0
	}
	o, err := n.cfg.Platform.Put(ctx, lease.Kind, object.NameInEra(n.Name(), era), version, lease.Record{Generation: l.Generation, State: lease.Held, Witnesses: witnesses})
	switch {
	case err == nil:
		l = l.Renewed(now, o.Version, n.leaseTerms)
		n.lease.Store(&l)
		n.setWitnesses(witnesses)
	case isConflict(err):
		n.resolveRenewal(ctx, l)
	case n.isVouchedFor(ctx, l.Generation):
		l = l.Renewed(now, l.Version, n.leaseTerms)
		n.lease.Store(&l)
	}
}

func isConflict(err error) bool {
	var conflict *object.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, object.ErrNotFound)
}

// resolveRenewal reads the lease after a conflict. If the record still shows it held by this generation, only the
// response to an earlier write was lost; otherwise the lease is lost.
func (n *Node) resolveRenewal(ctx context.Context, l lease.Lease) {
	r, err := n.readLease(ctx, n.Name())
	if err != nil || r.isFormer {
		return
	}
	if r.record.State == lease.Held && r.record.Generation == l.Generation {
		l.Version = r.version
		n.addWitnesses(r.record.Witnesses)
		n.lease.Store(&l)
		return
	}
	n.revokeLease(l)
}

// revokeLease ends the node's generation.
func (n *Node) revokeLease(l lease.Lease) {
	l = l.AsRevoked()
	n.lease.Store(&l)
	n.log.Info("lease lost; dropping all owned targets")
	n.dropAllTargets()
}

// witnessesFor returns the nodes that should be a node's witnesses: they get its heartbeats and end its lease when it
// is gone.
func witnessesFor(t *member.Table, m member.Member) []string {
	others := without(t.LiveIn(m.Datacentre), m.Name)
	if len(others) == 0 {
		others = without(t.Live(), m.Name)
	}
	ranked := rendezvous.Rank("watch/"+m.Name, others)
	return ranked[:min(witnessesPerNode, len(ranked))]
}

func without(list []string, name string) []string {
	var rest []string
	for _, x := range list {
		if x != name {
			rest = append(rest, x)
		}
	}
	return rest
}

func contains(list []string, name string) bool {
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}

func (n *Node) markGone(m member.Member) {
	m = m.WithState(member.Gone, n.cfg.Now())
	n.mergeMembers([]member.Member{m})
	go n.publishMember(m)
	go n.gossip()
}

// pruneMembers removes the rows of nodes that have been gone for the retention time; relays also delete their objects
// at the platform.
func (n *Node) pruneMembers(ctx context.Context) {
	n.changes.Lock()
	next, pruned := n.table.Load().Prune(n.cfg.Now())
	n.table.Store(next)
	n.changes.Unlock()
	for _, m := range pruned {
		n.witness.remove(m.Name)
		n.contacts.remove(m.Name)
		n.conns.Remove(m.PeerAddress)
	}
	if !n.isRelay() {
		return
	}
	for _, m := range pruned {
		n.deleteObject(ctx, member.Kind, m.Name)
		if r, err := n.readLease(ctx, m.Name); err == nil && r.record.State == lease.Ended && !r.isFormer {
			n.deleteObject(ctx, lease.Kind, object.NameInEra(m.Name, r.era))
		}
	}
}

// deleteObject deletes an object of a gone node unless it changes meanwhile.
func (n *Node) deleteObject(ctx context.Context, kind, name string) {
	o, err := n.cfg.Platform.Get(ctx, kind, name)
	if err != nil {
		return
	}
	if err := n.cfg.Platform.Delete(ctx, kind, name, o.Version); err != nil {
		n.log.Debug("deleting an object of a gone node failed: " + err.Error())
	}
}
