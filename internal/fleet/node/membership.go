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

const wardensEach = 2

// leaseLoop joins, then renews; a lost lease means joining again under a new generation.
func (n *Node) leaseLoop(ctx context.Context) {
	renew := n.cfg.Settings.Timing.RenewInterval.Duration()
	for ctx.Err() == nil && !n.leaving.Load() {
		if err := n.join(ctx); err != nil {
			n.log.Debug("cannot join: " + err.Error())
			pause(ctx, n.cfg.Settings.Timing.Heartbeat.Duration())
			continue
		}
		for ctx.Err() == nil && !n.lease.Load().Revoked {
			pause(ctx, renew)
			if ctx.Err() == nil {
				n.renew(ctx)
			}
		}
	}
}

// join takes the node's lease and becomes live.
func (n *Node) join(ctx context.Context) error {
	old, version, err := n.readLease(ctx, n.Name())
	if err != nil {
		return err
	}
	if version != 0 && old.State == lease.Held {
		n.log.Info("waiting for the lease of this name to run out")
		if err := n.warn(ctx, old); err != nil {
			return err
		}
		if err := n.waitOut(ctx, n.Name(), version); err != nil {
			return err
		}
	}
	if version == 0 {
		n.wards.first()
	}
	now := n.cfg.Now()
	generation := max(uint64(now.UnixMilli()), old.Generation+1, n.Self().Generation)
	wardens := wardensFor(n.table.Load(), n.Self())
	n.addWardens(wardens)
	o, err := n.cfg.Platform.Put(ctx, lease.Kind, n.Name(), version, lease.Record{Generation: generation, State: lease.Held, Witnesses: wardens})
	if err != nil {
		return merry.Prepend(err, "join")
	}
	n.setWardens(wardens)
	l := lease.Lease{Generation: generation}.Renewed(now, o.Version, n.terms)
	n.lease.Store(&l)
	n.become(func(m member.Member) member.Member {
		m.Generation = generation
		return m.WithState(member.Live, now)
	})
	n.log.With("generation", generation).Info("joined")
	return nil
}

// waitOut returns once the lease has been seen unrenewed for as long as it takes to be over.
func (n *Node) waitOut(ctx context.Context, name string, version uint64) error {
	watch := lease.Observation{}.Observed(version, n.cfg.Now())
	for !watch.Expired(n.cfg.Now(), n.terms) {
		pause(ctx, n.cfg.Settings.Timing.Heartbeat.Duration())
		r, v, err := n.readLease(ctx, name)
		if err != nil {
			return err
		}
		if r.State == lease.Ended {
			return merry.New("lease has ended meanwhile")
		}
		watch = watch.Observed(v, n.cfg.Now())
		if watch.Version != version {
			return merry.Errorf("another process renews the lease of %s", name)
		}
	}
	return nil
}

// readLease gives a node's lease record; version 0 means that there is none.
func (n *Node) readLease(ctx context.Context, name string) (lease.Record, uint64, error) {
	o, err := n.cfg.Platform.Get(ctx, lease.Kind, name)
	if errors.Is(err, object.ErrNotFound) {
		return lease.Record{}, 0, nil
	}
	if err != nil {
		return lease.Record{}, 0, err
	}
	var r lease.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return lease.Record{}, 0, merry.Prependf(err, "lease %s", name)
	}
	return r, o.Version, nil
}

// become changes the node's own row and tells the platform and the peers.
func (n *Node) become(change func(member.Member) member.Member) {
	m := change(n.Self())
	n.self.Store(&m)
	n.learnMembers([]member.Member{m})
	go n.publishMember(m)
	go n.spread()
}

// publishMember writes a row to the platform unless that has a newer one.
func (n *Node) publishMember(m member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	version := uint64(0)
	for range 3 {
		_, err := n.cfg.Platform.Put(ctx, member.Kind, m.Name, version, m)
		var conflict *object.ConflictError
		if !errors.As(err, &conflict) {
			return
		}
		var there member.Member
		if json.Unmarshal(conflict.Current.Value, &there) == nil && !m.Newer(there) {
			return
		}
		version = conflict.Current.Version
	}
}

// learnMembers takes in newer rows.
func (n *Node) learnMembers(rows []member.Member) {
	n.changes.Lock()
	defer n.changes.Unlock()
	next, changed := n.table.Load().Merge(n.cfg.Now(), rows)
	if !changed {
		return
	}
	n.table.Store(next)
	n.reroute()
}

// renew renews the lease at the platform; while that cannot be reached, the wardens' word takes its place.
func (n *Node) renew(ctx context.Context) {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	if n.leaving.Load() {
		return
	}
	now := n.cfg.Now()
	l := *n.lease.Load()
	wardens := wardensFor(n.table.Load(), n.Self())
	n.addWardens(wardens)
	o, err := n.cfg.Platform.Put(ctx, lease.Kind, n.Name(), l.Version, lease.Record{Generation: l.Generation, State: lease.Held, Witnesses: wardens})
	switch {
	case err == nil:
		l = l.Renewed(now, o.Version, n.terms)
		n.lease.Store(&l)
		n.setWardens(wardens)
	case lostRace(err):
		n.settleRenewal(ctx, l)
	case n.vouchedFor(ctx, l.Generation):
		l = l.Renewed(now, l.Version, n.terms)
		n.lease.Store(&l)
	}
}

func lostRace(err error) bool {
	var conflict *object.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, object.ErrNotFound)
}

// settleRenewal tells a lost answer from a lost lease: the record still says held by this generation, or it does not.
func (n *Node) settleRenewal(ctx context.Context, l lease.Lease) {
	r, version, err := n.readLease(ctx, n.Name())
	if err != nil {
		return
	}
	if r.State == lease.Held && r.Generation == l.Generation {
		l.Version = version
		n.addWardens(r.Witnesses)
		n.lease.Store(&l)
		return
	}
	l = l.AsRevoked()
	n.lease.Store(&l)
	n.log.Info("lease was lost; everything owned is dropped")
	n.dropAll()
}

// wardensFor names the nodes that should look after a node: they get its heartbeats and end its lease when it is gone.
func wardensFor(t *member.Table, m member.Member) []string {
	others := without(t.LiveIn(m.Datacentre), m.Name)
	if len(others) == 0 {
		others = without(t.Live(), m.Name)
	}
	ranked := rendezvous.Rank("watch/"+m.Name, others)
	return ranked[:min(wardensEach, len(ranked))]
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

func (n *Node) gone(m member.Member) {
	m = m.WithState(member.Gone, n.cfg.Now())
	n.learnMembers([]member.Member{m})
	go n.publishMember(m)
	go n.spread()
}

// forgetGone drops the rows of nodes that are long gone; relays drop their objects at the platform too.
func (n *Node) forgetGone(ctx context.Context) {
	n.changes.Lock()
	next, past := n.table.Load().Prune(n.cfg.Now())
	n.table.Store(next)
	n.changes.Unlock()
	for _, m := range past {
		n.wards.drop(m.Name)
		n.hearing.drop(m.Name)
		n.conns.Discard(m.PeerAddress)
	}
	if !n.relays() {
		return
	}
	for _, m := range past {
		n.forgetObject(ctx, member.Kind, m.Name)
		if r, _, err := n.readLease(ctx, m.Name); err == nil && r.State == lease.Ended {
			n.forgetObject(ctx, lease.Kind, m.Name)
		}
	}
}

// forgetObject deletes an object of a node that is gone, unless it has changed meanwhile.
func (n *Node) forgetObject(ctx context.Context, kind, name string) {
	o, err := n.cfg.Platform.Get(ctx, kind, name)
	if err != nil {
		return
	}
	if err := n.cfg.Platform.Delete(ctx, kind, name, o.Version); err != nil {
		n.log.Debug("object of a gone node cannot be deleted: " + err.Error())
	}
}
