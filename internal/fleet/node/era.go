package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/owner"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// eraState is what a node knows of the platform's era.
type eraState struct {
	mu      sync.Mutex
	current uint64
	// written is the latest era in which the platform has all that the node holds.
	written uint64
	// restoredAt is when the node learned that the platform came back from an older copy, zero if it has not since its start.
	restoredAt time.Time
	// peers holds, by peer, the latest era in which the platform is known to have all that the peer holds.
	peers map[string]uint64
	// begun is sent to when there is something to write again.
	begun chan struct{}
}

func (s *eraState) init() {
	s.peers = map[string]uint64{}
	s.begun = make(chan struct{}, 1)
}

func (s *eraState) latest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *eraState) writtenIn() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written
}

func (s *eraState) markWritten(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = max(s.written, era)
}

// begin records an era and reports whether it is a new one. hasState is set if the node has written anything to the platform, so
// that the new era is a restore and not the first one that the node sees.
func (s *eraState) begin(now time.Time, era uint64, hasState bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era <= s.current {
		return false
	}
	s.current = era
	if !hasState {
		s.written = era
		return true
	}
	s.restoredAt = now
	select {
	case s.begun <- struct{}{}:
	default:
	}
	return true
}

func (s *eraState) recordPeer(name string, written uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[name] = max(s.peers[name], written)
}

// hasWritten reports whether the platform has all that a peer holds in the current era.
func (s *eraState) hasWritten(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[name] >= s.current
}

// checkEra makes the node act on an era of the platform that one of its calls, or a peer, has brought.
func (n *Node) checkEra(now time.Time) {
	era := n.cfg.Platform.Era()
	hasState := n.lease.Load().Version != 0
	if !n.era.begin(now, era, hasState) {
		return
	}
	// What was granted in the former era may be lost, so nothing more is granted on its grounds.
	n.ledgers.suspend(era)
	n.witness.beginEra()
	if hasState {
		n.log.With("era", era).With("targets", len(n.owner.Targets())).Warn("platform came back from an older copy; writing again what this node holds", nil)
	}
}

// learnEra records the era that a peer knows and the one in which it has written what it holds.
func (n *Node) learnEra(name string, era, written uint64) {
	n.era.recordPeer(name, written)
	n.raiseEra(era)
}

// raiseEra makes the node act on an era that a peer has named.
func (n *Node) raiseEra(era uint64) {
	if era > n.cfg.Platform.Era() {
		// An error means that a later era is known by now.
		_ = n.cfg.Platform.RaiseEra(era)
	}
	n.checkEra(n.cfg.Now())
}

// eraLoop writes what the node holds whenever an era begins, until all of it is written.
func (n *Node) eraLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.era.begun:
		case <-time.After(n.cfg.Settings.Timing.Heartbeat.Duration()):
		}
		if era := n.era.latest(); n.era.writtenIn() < era && n.writeAgain(ctx, era) {
			n.era.markWritten(era)
			n.restoreHead(ctx)
		}
	}
}

// writeAgain writes the node's lease, row and owned targets in a new era, and reports whether the platform has them all.
func (n *Node) writeAgain(ctx context.Context, era uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	n.renew(ctx)
	n.publishMember(n.Self())
	all := true
	for _, name := range n.owner.Targets() {
		if err := n.claimAgain(ctx, name, era); err != nil {
			n.log.With("target", name).With("era", era).Warn("writing the owner of a target again failed", err)
			all = false
		}
	}
	return all
}

// claimAgain writes the record of an owned target in a new era, and drops the target if another node has one there. An error
// means that the record may be lost.
func (n *Node) claimAgain(ctx context.Context, name string, era uint64) error {
	epoch, owned := n.owner.Epoch(name)
	if !owned {
		return nil
	}
	l := *n.lease.Load()
	if !l.Valid(n.cfg.Now()) || l.Version.Era() < era {
		return errNoLease
	}
	r := owner.Record{Holder: n.Name(), Generation: l.Generation, Epoch: epoch}
	_, err := n.cfg.Platform.Put(ctx, owner.Kind, object.NameInEra(name, era), 0, r)
	var conflict *object.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	var current owner.Record
	if err := json.Unmarshal(conflict.Current.Value, &current); err != nil {
		return err
	}
	if current.Holder != r.Holder || current.Generation != r.Generation {
		n.log.With("target", name).Warn("another node owns the target in the new era of the platform; dropping it", nil)
		n.owner.Drop(name)
	}
	return nil
}

var errNoLease = merry.Sentinel("the node has no lease in this era")

// restoreHead publishes the active release again if the platform has lost it.
func (n *Node) restoreHead(ctx context.Context) {
	current := n.Release()
	if current == nil || !n.isRelay() {
		return
	}
	read, err := readInEra[release.Head](ctx, n.cfg.Platform, release.HeadKind, release.HeadName)
	if err != nil || (read.found && read.record.Number >= current.Head.Number) {
		return
	}
	for _, hash := range current.Head.Chunks {
		data, ok := current.Chunk(hash)
		if !ok {
			return
		}
		_, err := n.cfg.Platform.Put(ctx, release.ChunkKind, hash, 0, json.RawMessage(data))
		var conflict *object.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			n.log.With("release", current.Head.Number).Warn("publishing the release again failed", err)
			return
		}
	}
	if _, err := n.cfg.Platform.Put(ctx, release.HeadKind, object.NameInEra(release.HeadName, read.era), read.version, current.Head); err != nil {
		n.log.With("release", current.Head.Number).Debug("publishing the release again failed: " + err.Error())
		return
	}
	n.log.With("release", current.Head.Number).Info("published the release again that the platform had lost")
}

// restoreWait is how long after a restore no target is taken on the grounds of a record of an earlier era: a node that has not
// learned of the era stops within a lease.
func (n *Node) restoreWait() time.Duration {
	return n.leaseTerms.TakeoverWait() + n.leaseTerms.Duration
}

// mayTakeFromFormerEra reports whether every live node has written what it holds in this era, so that a target without a record
// there has no owner.
func (n *Node) mayTakeFromFormerEra(now time.Time) bool {
	if n.era.latest() == 0 {
		return true
	}
	n.era.mu.Lock()
	restoredAt := n.era.restoredAt
	n.era.mu.Unlock()
	if !restoredAt.IsZero() && now.Sub(restoredAt) < n.restoreWait() {
		return false
	}
	for _, m := range n.otherRunningMembers() {
		if !n.era.hasWritten(m.Name) {
			return false
		}
	}
	return true
}

// askEras asks the nodes that are not known to have written what they hold.
func (n *Node) askEras(ctx context.Context) {
	for _, m := range n.otherRunningMembers() {
		if !n.era.hasWritten(m.Name) {
			go n.exchangeDigests(ctx, m.PeerAddress)
		}
	}
}

// otherRunningMembers lists the other nodes that may act in the fleet.
func (n *Node) otherRunningMembers() []member.Member {
	var list []member.Member
	for _, m := range n.table.Load().Rows() {
		if m.Name != n.Name() && (m.State == member.Live || m.State == member.Stopping) {
			list = append(list, m)
		}
	}
	return list
}

// firstEpoch returns the least fencing token of an era: above every one of earlier eras, lost ones included.
func firstEpoch(era uint64) uint64 { return era << 32 }
