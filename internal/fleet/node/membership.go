package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/placement"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const watchers = 2

// leaseLoop joins, then renews; a lost lease means joining again under a new generation.
func (n *Node) leaseLoop(ctx context.Context) {
	renew := n.cfg.Settings.Timing.Renew.Duration()
	for ctx.Err() == nil && !n.leaving.Load() {
		if err := n.join(ctx); err != nil {
			n.log.Debug("cannot join: " + err.Error())
			pause(ctx, n.cfg.Settings.Timing.Beat.Duration())
			continue
		}
		for ctx.Err() == nil && !n.lease.Load().Lost {
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
		if err := n.waitOut(ctx, n.Name(), version); err != nil {
			return err
		}
	}
	now := n.cfg.Now()
	generation := max(uint64(now.UnixMilli()), old.Generation+1, n.Self().Generation)
	o, err := n.cfg.Platform.Put(ctx, lease.Kind, n.Name(), version, lease.Record{Generation: generation, State: lease.Held})
	if err != nil {
		return merry.Prepend(err, "join")
	}
	l := lease.Lease{Generation: generation}.Renewed(now, o.Version, n.terms)
	n.lease.Store(&l)
	n.become(func(m member.Member) member.Member {
		m.Generation = generation
		return m.WithState(member.Live)
	})
	n.log.With("generation", generation).Info("joined")
	return nil
}

// waitOut returns once the lease has been seen unrenewed for as long as it takes to be over.
func (n *Node) waitOut(ctx context.Context, name string, version uint64) error {
	watch := lease.Watch{}.Seen(version, n.cfg.Now())
	for !watch.Over(n.cfg.Now(), n.terms) {
		pause(ctx, n.cfg.Settings.Timing.Beat.Duration())
		r, v, err := n.readLease(ctx, name)
		if err != nil {
			return err
		}
		if r.State == lease.Ended {
			return merry.New("lease has ended meanwhile")
		}
		watch = watch.Seen(v, n.cfg.Now())
		if watch.Version != version {
			return merry.Errorf("another process renews the lease of %s", name)
		}
	}
	return nil
}

// readLease gives a node's lease record; version 0 means that there is none.
func (n *Node) readLease(ctx context.Context, name string) (lease.Record, uint64, error) {
	o, err := n.cfg.Platform.Get(ctx, lease.Kind, name)
	if errors.Is(err, object.ErrMissing) {
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
		var conflict *object.Conflict
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
	next, changed := n.table.Load().Merge(rows)
	if !changed {
		return
	}
	n.table.Store(next)
	n.reroute()
}

// renew renews the lease, through a peer if the platform cannot be reached from here.
func (n *Node) renew(ctx context.Context) {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	if n.leaving.Load() {
		return
	}
	now := n.cfg.Now()
	l := *n.lease.Load()
	record := lease.Record{Generation: l.Generation, State: lease.Held}
	version, err := n.putLease(ctx, l.Version, record)
	if err != nil && !lostRace(err) {
		version, err = n.renewThroughPeer(ctx, l.Version, record)
	}
	switch {
	case err == nil:
		l = l.Renewed(now, version, n.terms)
		n.lease.Store(&l)
	case lostRace(err):
		n.settleRenewal(ctx, l)
	}
}

func (n *Node) putLease(ctx context.Context, version uint64, r lease.Record) (uint64, error) {
	o, err := n.cfg.Platform.Put(ctx, lease.Kind, n.Name(), version, r)
	return o.Version, err
}

func lostRace(err error) bool {
	var conflict *object.Conflict
	return errors.As(err, &conflict) || errors.Is(err, object.ErrMissing)
}

// settleRenewal tells a lost answer from a lost lease: the record still says held by this generation, or it does not.
func (n *Node) settleRenewal(ctx context.Context, l lease.Lease) {
	r, version, err := n.readLease(ctx, n.Name())
	if err != nil {
		return
	}
	if r.State == lease.Held && r.Generation == l.Generation {
		l.Version = version
		n.lease.Store(&l)
		return
	}
	l = l.Refused()
	n.lease.Store(&l)
	n.log.Info("lease was lost; everything owned is dropped")
	n.dropAll()
}

func (n *Node) renewThroughPeer(ctx context.Context, version uint64, r lease.Record) (uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	t := n.table.Load()
	for _, name := range placement.Rank("renew/"+n.Name(), t.Live()) {
		m, _ := t.Get(name)
		if name == n.Name() || n.cfg.Now().Sub(n.hearing.last(name)) > n.cfg.Settings.Timing.Bound.Duration() {
			continue
		}
		reply, err := n.callRenew(ctx, m, &peerpb.RenewRequest{Name: n.Name(), Version: version, Value: value})
		if err != nil {
			continue
		}
		switch reply.Verdict {
		case renewDone:
			return reply.Version, nil
		case renewLost:
			return 0, object.ErrMissing
		}
		return 0, merry.New("a peer cannot reach the platform either")
	}
	return 0, merry.New("no peer can be asked")
}

// The verdicts of a renewal through a peer.
const (
	renewDone = "done"
	renewLost = "lost"
	renewDown = "down"
)

// Renew renews a peer's lease for it.
func (n *Node) Renew(ctx context.Context, r *peerpb.RenewRequest) (*peerpb.RenewReply, error) {
	o, err := n.cfg.Platform.Put(ctx, lease.Kind, r.Name, r.Version, json.RawMessage(r.Value))
	var conflict *object.Conflict
	if errors.As(err, &conflict) && bytes.Equal(conflict.Current.Value, r.Value) {
		// An earlier renewal took effect and its answer was lost.
		return &peerpb.RenewReply{Verdict: renewDone, Version: conflict.Current.Version}, nil
	}
	switch {
	case err == nil:
		return &peerpb.RenewReply{Verdict: renewDone, Version: o.Version}, nil
	case lostRace(err):
		return &peerpb.RenewReply{Verdict: renewLost}, nil
	default:
		return &peerpb.RenewReply{Verdict: renewDown}, nil
	}
}

// watches names the nodes that look after a node: they get its heartbeats and end its lease when it is gone.
func watches(t *member.Table, m member.Member) []string {
	others := without(t.LiveIn(m.Datacentre), m.Name)
	if len(others) == 0 {
		others = without(t.Live(), m.Name)
	}
	ranked := placement.Rank("watch/"+m.Name, others)
	return ranked[:min(watchers, len(ranked))]
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

const missedBeats = 3

// guard looks after the nodes that this one watches.
func (n *Node) guard(ctx context.Context) {
	t := n.table.Load()
	now := n.cfg.Now()
	bound := missedBeats * n.cfg.Settings.Timing.Beat.Duration()
	for _, m := range t.Rows() {
		silent := now.Sub(n.hearing.last(m.Name)) > bound
		if m.Name == n.Name() || (m.State != member.Live && m.State != member.Stopping) || !silent {
			delete(n.watching, m.Name)
			continue
		}
		if contains(watches(t, m), n.Name()) {
			n.suspect(ctx, m)
		}
	}
}

// suspect reads the lease of a silent node, and ends it once it has been unrenewed for long enough.
func (n *Node) suspect(ctx context.Context, m member.Member) {
	r, version, err := n.readLease(ctx, m.Name)
	if err != nil {
		return
	}
	if r.Generation > m.Generation {
		return
	}
	if version == 0 || r.State == lease.Ended {
		n.gone(m)
		return
	}
	n.watching[m.Name] = n.watching[m.Name].Seen(version, n.cfg.Now())
	if !n.watching[m.Name].Over(n.cfg.Now(), n.terms) {
		return
	}
	r.State = lease.Ended
	if _, err := n.cfg.Platform.Put(ctx, lease.Kind, m.Name, version, r); err != nil {
		return
	}
	n.log.With("peer", m.Name).Info("lease of a silent node was ended")
	n.gone(m)
}

func (n *Node) gone(m member.Member) {
	m = m.WithState(member.Gone)
	n.learnMembers([]member.Member{m})
	go n.publishMember(m)
	go n.spread()
}
