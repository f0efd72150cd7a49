package node

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const missedHeartbeats = 3

// witnessState holds what a node records as a witness of others, and its own witnesses.
type witnessState struct {
	mu sync.Mutex
	// own holds the witnesses that the platform's record may name; all of them have to vouch.
	own []string
	// observations holds what was seen of the leases of others, subjects the nodes that name this one as a witness.
	observations map[string]lease.Observation
	subjects     map[string]bool
	// ending holds the generation of each lease that this node is about to end and no longer vouches for.
	ending map[string]uint64
	// latestGeneration holds the highest generation of each name that asked this node to vouch.
	latestGeneration map[string]uint64
	// confirmed holds the generation of each lease that the platform showed as held, with this node as a witness,
	// since vouchFrom.
	confirmed map[string]uint64
	// vouchFrom is when this process may begin to vouch; until then, a write of its predecessor may take effect.
	vouchFrom time.Time
}

func (w *witnessState) init(vouchFrom time.Time) {
	w.vouchFrom = vouchFrom
	w.confirmed = map[string]uint64{}
	w.observations = map[string]lease.Observation{}
	w.subjects = map[string]bool{}
	w.ending = map[string]uint64{}
	w.latestGeneration = map[string]uint64{}
}

// beginEra forgets what the platform has shown in a former era, so that nothing is vouched for or ended on its grounds.
func (w *witnessState) beginEra() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed = map[string]uint64{}
	w.observations = map[string]lease.Observation{}
}

func (w *witnessState) ownWitnesses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.own...)
}

// setSubject records whether a node names this one as its witness.
func (w *witnessState) setSubject(name string, isWitness bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if isWitness {
		w.subjects[name] = true
		return
	}
	delete(w.subjects, name)
}

// clearObservation drops the observation of a lease whose holder has sent a heartbeat. The entry in ending stays, since
// a write that ends the lease may still take effect.
func (w *witnessState) clearObservation(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.observations, name)
}

// remove drops the records of a node whose member row was pruned.
func (w *witnessState) remove(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.observations, name)
	delete(w.subjects, name)
	delete(w.ending, name)
	delete(w.latestGeneration, name)
	delete(w.confirmed, name)
}

func (w *witnessState) isWitnessOf(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.subjects[name]
}

// markFirstProcess records that no earlier process had this name, so that no write of one can be in flight.
func (w *witnessState) markFirstProcess() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vouchFrom = time.Time{}
}

// isConfirmed reports whether the platform has shown that a generation holds its lease and this node may vouch for it.
func (w *witnessState) isConfirmed(name string, generation uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed[name] == generation
}

// confirm marks a lease as confirmed if its record, read by a call sent at sent, shows it as held with this node as a
// witness, and the call was not sent before vouchFrom.
func (w *witnessState) confirm(sent time.Time, name, self string, r lease.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !sent.Before(w.vouchFrom) && r.State == lease.Held && contains(r.Witnesses, self) {
		w.confirmed[name] = r.Generation
	}
}

// vouch promises not to end the lease of a node for the length of a lease and returns true, unless the lease is not
// confirmed, is being ended or has a successor.
func (w *witnessState) vouch(now time.Time, name string, generation uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if generation < w.latestGeneration[name] || generation <= w.ending[name] {
		return false
	}
	w.latestGeneration[name] = generation
	if w.confirmed[name] != generation {
		return false
	}
	w.observations[name] = w.observations[name].Vouched(now)
	return true
}

// beginEnding records the observed version of a lease and reports whether the lease may be ended now; if so, this node
// no longer vouches for it.
func (w *witnessState) beginEnding(now time.Time, name string, generation uint64, version object.Version, t lease.Terms) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observations[name] = w.observations[name].Observed(version, now)
	if !w.observations[name].Expired(now, t) {
		return false
	}
	w.ending[name] = generation
	return true
}

// addWitnesses adds witnesses that a write may have named; setWitnesses is for a write that is known to have taken
// effect.
func (n *Node) addWitnesses(names []string) {
	n.witness.mu.Lock()
	defer n.witness.mu.Unlock()
	for _, name := range names {
		if !contains(n.witness.own, name) {
			n.witness.own = append(n.witness.own, name)
		}
	}
}

func (n *Node) setWitnesses(names []string) {
	n.witness.mu.Lock()
	defer n.witness.mu.Unlock()
	n.witness.own = names
}

// Vouch serves a peer that this node is a witness of; only a witness whose own lease is valid may vouch.
func (n *Node) Vouch(ctx context.Context, r *peerpb.VouchRequest) (*peerpb.VouchReply, error) {
	n.confirmLease(ctx, r.Name, r.Generation)
	now := n.cfg.Now()
	granted := n.hasLease(now) && !n.paused(now) && n.witness.vouch(now, r.Name, r.Generation)
	return &peerpb.VouchReply{Granted: granted}, nil
}

// confirmLease reads a lease that this node is asked to vouch for, until its generation is confirmed.
func (n *Node) confirmLease(ctx context.Context, name string, generation uint64) {
	if n.witness.isConfirmed(name, generation) {
		return
	}
	sent := n.cfg.Now()
	r, err := n.readLease(ctx, name)
	if err == nil && r.found && !r.isFormer {
		n.witness.confirm(sent, name, n.Name(), r.record)
		n.witness.setSubject(name, contains(r.record.Witnesses, n.Name()))
	}
}

// isVouchedFor asks every witness to vouch for this node's lease and reports whether all of them did.
func (n *Node) isVouchedFor(ctx context.Context, generation uint64) bool {
	names := n.witness.ownWitnesses()
	if len(names) == 0 {
		return false
	}
	for _, name := range names {
		reply, err := n.askWitness(ctx, name, generation)
		if err != nil || !reply.Granted {
			return false
		}
	}
	return true
}

func (n *Node) askWitness(ctx context.Context, witness string, generation uint64) (*peerpb.VouchReply, error) {
	m, ok := n.table.Load().Get(witness)
	if !ok {
		return nil, ErrUnknownRequest
	}
	client, err := n.conns.Client(m.PeerAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return client.Vouch(ctx, &peerpb.VouchRequest{Name: n.Name(), Generation: generation})
}

// announceGeneration sends this process's generation to a witness, which then vouches for no earlier one.
func (n *Node) announceGeneration(ctx context.Context, witness string) bool {
	_, err := n.askWitness(ctx, witness, n.Self().Generation)
	return err == nil
}

// informFormerWitnesses informs the witnesses of the former process of this name that it has a successor, so that they
// no longer vouch for it. It returns an error if a witness that still holds a lease cannot be reached.
func (n *Node) informFormerWitnesses(ctx context.Context, former lease.Record) error {
	for _, witness := range former.Witnesses {
		if n.announceGeneration(ctx, witness) {
			continue
		}
		r, err := n.readLease(ctx, witness)
		if err != nil {
			return err
		}
		if r.found && r.record.State == lease.Held {
			return merry.Errorf("witness %s cannot be reached", witness)
		}
	}
	return nil
}

// checkPeers confirms the leases of the nodes that this one is a witness of, and checks those of unresponsive nodes.
func (n *Node) checkPeers(ctx context.Context) {
	t := n.table.Load()
	now := n.cfg.Now()
	timeout := missedHeartbeats * n.cfg.Settings.Timing.Heartbeat.Duration()
	for _, m := range t.Rows() {
		if n.witness.isWitnessOf(m.Name) && m.State == member.Live {
			// The lease is confirmed in advance, since the platform cannot be read during an outage.
			n.confirmLease(ctx, m.Name, m.Generation)
		}
		unresponsive := now.Sub(n.contacts.lastPeer(m.Name)) > timeout
		if m.Name == n.Name() || (m.State != member.Live && m.State != member.Stopping) || !unresponsive {
			n.witness.clearObservation(m.Name)
			continue
		}
		if n.witness.isWitnessOf(m.Name) || contains(witnessesFor(t, m), n.Name()) {
			n.checkLease(ctx, m)
		}
	}
}

// checkLease reads the lease of an unresponsive node. A witness ends the lease once it has been observed without a
// renewal for long enough.
func (n *Node) checkLease(ctx context.Context, m member.Member) {
	read, err := n.readLease(ctx, m.Name)
	r := read.record
	if err != nil || r.Generation > m.Generation {
		return
	}
	if !read.found || (r.State == lease.Ended && !(read.isFormer && r.Generation < m.Generation)) {
		n.markGone(m)
		return
	}
	if !contains(r.Witnesses, n.Name()) {
		// A node that no longer names this one as a witness sends no heartbeats here; that it is unresponsive
		// means nothing.
		n.witness.setSubject(m.Name, false)
		n.replaceWitnesses(ctx, m.Name, read)
		return
	}
	if !n.witness.beginEnding(n.cfg.Now(), m.Name, r.Generation, read.version, n.leaseTerms) {
		return
	}
	r.State = lease.Ended
	if _, err := n.cfg.Platform.Put(ctx, lease.Kind, object.NameInEra(m.Name, read.era), read.version, r); err != nil {
		return
	}
	n.log.With("peer", m.Name).Info("ended the lease of an unresponsive node")
	n.markGone(m)
}

// replaceWitnesses makes this node the witness of an unresponsive node if the leases of all its witnesses have ended.
func (n *Node) replaceWitnesses(ctx context.Context, name string, r stored[lease.Record]) {
	for _, witness := range r.record.Witnesses {
		w, err := n.readLease(ctx, witness)
		if err != nil || (w.found && w.record.State == lease.Held) {
			return
		}
	}
	r.record.Witnesses = []string{n.Name()}
	_, _ = n.cfg.Platform.Put(ctx, lease.Kind, object.NameInEra(name, r.era), r.version, r.record)
}
