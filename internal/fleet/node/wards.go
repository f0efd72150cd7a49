package node

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const missedBeats = 3

// wards is what a node keeps as a warden of others, and who its own wardens are.
type wards struct {
	mu sync.Mutex
	// own are the wardens that the platform's record may name; all of them have to vouch.
	own []string
	// watching is what was seen of the leases of others, kept those whose record names this node.
	watching map[string]lease.Observation
	kept     map[string]bool
	// ending holds the generation of a lease that this node is about to end: it vouches for it no more.
	ending map[string]uint64
	// latest holds the highest generation that asked under a name.
	latest map[string]uint64
	// sure holds the generation of each lease that the platform has shown to be held, with this node as its
	// warden, since this process may vouch.
	sure map[string]uint64
	// from is when this process may vouch: a write of its predecessor may take effect until then.
	from time.Time
}

func (w *wards) init(from time.Time) {
	w.from = from
	w.sure = map[string]uint64{}
	w.watching = map[string]lease.Observation{}
	w.kept = map[string]bool{}
	w.ending = map[string]uint64{}
	w.latest = map[string]uint64{}
}

func (w *wards) wardens() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.own...)
}

// learn notes whether a node names this one as its warden.
func (w *wards) learn(name string, warden bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if warden {
		w.kept[name] = true
		return
	}
	delete(w.kept, name)
}

// forget drops what was seen of a lease, since its holder has been heard. That an end of it was begun
// stays known: the write may still take effect.
func (w *wards) forget(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watching, name)
}

// drop forgets a node that is long gone.
func (w *wards) drop(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watching, name)
	delete(w.kept, name)
	delete(w.ending, name)
	delete(w.latest, name)
	delete(w.sure, name)
}

func (w *wards) keeps(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kept[name]
}

// first notes that this name had no process before, so that no write of one is under way.
func (w *wards) first() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.from = time.Time{}
}

// isSure tells whether the platform has shown that a generation holds its lease and this node may vouch for it.
func (w *wards) isSure(name string, generation uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sure[name] == generation
}

// saw takes in a lease record that was read by a call sent at sent.
func (w *wards) saw(sent time.Time, name, self string, r lease.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !sent.Before(w.from) && r.State == lease.Held && contains(r.Witnesses, self) {
		w.sure[name] = r.Generation
	}
}

// vouch promises not to end the lease of a node for its length, unless it is being ended or has a successor.
func (w *wards) vouch(now time.Time, name string, generation uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if generation < w.latest[name] || generation <= w.ending[name] {
		return false
	}
	w.latest[name] = generation
	if w.sure[name] != generation {
		return false
	}
	w.watching[name] = w.watching[name].Vouched(now)
	return true
}

// over takes in a lease record and tells whether the lease may be ended now; if so this node vouches for it no more.
func (w *wards) over(now time.Time, name string, generation, version uint64, t lease.Terms) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching[name] = w.watching[name].Observed(version, now)
	if !w.watching[name].Expired(now, t) {
		return false
	}
	w.ending[name] = generation
	return true
}

// addWardens counts in wardens that a write may have named; setWardens is for a write that surely took effect.
func (n *Node) addWardens(names []string) {
	n.wards.mu.Lock()
	defer n.wards.mu.Unlock()
	for _, name := range names {
		if !contains(n.wards.own, name) {
			n.wards.own = append(n.wards.own, name)
		}
	}
}

func (n *Node) setWardens(names []string) {
	n.wards.mu.Lock()
	defer n.wards.mu.Unlock()
	n.wards.own = names
}

// Vouch answers a node that this one is a warden of; only a warden whose own lease holds may promise.
func (n *Node) Vouch(ctx context.Context, r *peerpb.VouchRequest) (*peerpb.VouchReply, error) {
	n.makeSure(ctx, r.Name, r.Generation)
	now := n.cfg.Now()
	granted := n.leased(now) && !n.paused(now) && n.wards.vouch(now, r.Name, r.Generation)
	return &peerpb.VouchReply{Granted: granted}, nil
}

// makeSure reads a lease that this node is asked to vouch for, once for each generation.
func (n *Node) makeSure(ctx context.Context, name string, generation uint64) {
	if n.wards.isSure(name, generation) {
		return
	}
	sent := n.cfg.Now()
	r, version, err := n.readLease(ctx, name)
	if err == nil && version != 0 {
		n.wards.saw(sent, name, n.Name(), r)
		n.wards.learn(name, contains(r.Witnesses, n.Name()))
	}
}

// vouchedFor tells whether every warden promises not to end this node's lease.
func (n *Node) vouchedFor(ctx context.Context, generation uint64) bool {
	names := n.wards.wardens()
	if len(names) == 0 {
		return false
	}
	for _, name := range names {
		reply, err := n.askWarden(ctx, name, generation)
		if err != nil || !reply.Granted {
			return false
		}
	}
	return true
}

func (n *Node) askWarden(ctx context.Context, warden string, generation uint64) (*peerpb.VouchReply, error) {
	m, ok := n.table.Load().Get(warden)
	if !ok {
		return nil, ErrUnknownRequest
	}
	client, err := n.conns.Client(m.PeerAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	return client.Vouch(ctx, &peerpb.VouchRequest{Name: n.Name(), Generation: generation})
}

// tellWarden tells a warden of this process's generation; from its answer on it vouches for none before.
func (n *Node) tellWarden(ctx context.Context, warden string) bool {
	_, err := n.askWarden(ctx, warden, n.Self().Generation)
	return err == nil
}

// warn tells the wardens of a former process of this name that it has a successor, so that they vouch for it no more.
func (n *Node) warn(ctx context.Context, old lease.Record) error {
	for _, warden := range old.Witnesses {
		if n.tellWarden(ctx, warden) {
			continue
		}
		r, version, err := n.readLease(ctx, warden)
		if err != nil {
			return err
		}
		if version != 0 && r.State == lease.Held {
			return merry.Errorf("warden %s cannot be asked", warden)
		}
	}
	return nil
}

// guard looks after the nodes that this one watches or is a warden of.
func (n *Node) guard(ctx context.Context) {
	t := n.table.Load()
	now := n.cfg.Now()
	bound := missedBeats * n.cfg.Settings.Timing.Heartbeat.Duration()
	for _, m := range t.Rows() {
		if n.wards.keeps(m.Name) && m.State == member.Live {
			// Asked for before an outage, since in one the platform cannot be read.
			n.makeSure(ctx, m.Name, m.Generation)
		}
		silent := now.Sub(n.hearing.last(m.Name)) > bound
		if m.Name == n.Name() || (m.State != member.Live && m.State != member.Stopping) || !silent {
			n.wards.forget(m.Name)
			continue
		}
		if n.wards.keeps(m.Name) || contains(wardensFor(t, m), n.Name()) {
			n.suspect(ctx, m)
		}
	}
}

// suspect reads the lease of a silent node, and as its warden ends it once it has been unrenewed for long enough.
func (n *Node) suspect(ctx context.Context, m member.Member) {
	r, version, err := n.readLease(ctx, m.Name)
	if err != nil || r.Generation > m.Generation {
		return
	}
	if version == 0 || r.State == lease.Ended {
		n.gone(m)
		return
	}
	if !contains(r.Witnesses, n.Name()) {
		// A former ward sends no heartbeats here any more; that it is silent says nothing.
		n.wards.learn(m.Name, false)
		n.replaceWardens(ctx, m.Name, r, version)
		return
	}
	if !n.wards.over(n.cfg.Now(), m.Name, r.Generation, version, n.terms) {
		return
	}
	r.State = lease.Ended
	if _, err := n.cfg.Platform.Put(ctx, lease.Kind, m.Name, version, r); err != nil {
		return
	}
	n.log.With("peer", m.Name).Info("lease of a silent node was ended")
	n.gone(m)
}

// replaceWardens makes this node a silent node's warden if the leases of all its wardens have ended.
func (n *Node) replaceWardens(ctx context.Context, name string, r lease.Record, version uint64) {
	for _, warden := range r.Witnesses {
		w, there, err := n.readLease(ctx, warden)
		if err != nil || (there != 0 && w.State == lease.Held) {
			return
		}
	}
	r.Witnesses = []string{n.Name()}
	_, _ = n.cfg.Platform.Put(ctx, lease.Kind, name, version, r)
}
