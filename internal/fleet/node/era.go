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
	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// eraState is what a node knows of the platform's era.
type eraState struct {
	mu      sync.Mutex
	current uint64
	// restoredAt is when the node learned that the platform came back from an older copy, zero if it has not since its start.
	restoredAt time.Time
	// peers holds the latest era that each peer was known to know.
	peers map[string]uint64
}

func (s *eraState) latest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
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
	if hasState {
		s.restoredAt = now
	}
	return true
}

func (s *eraState) recordPeer(name string, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[string]uint64{}
	}
	s.peers[name] = max(s.peers[name], era)
}

func (s *eraState) peer(name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[name]
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
	if !hasState {
		return
	}
	n.log.With("era", era).With("targets", len(n.owner.Targets())).Warn("platform came back from an older copy; writing again what this node holds", nil)
	go n.writeAgain(era)
}

// learnEra records an era that a peer knows.
func (n *Node) learnEra(name string, era uint64) {
	n.era.recordPeer(name, era)
	if era > n.cfg.Platform.Era() {
		// An error means that a later era is known by now.
		_ = n.cfg.Platform.RaiseEra(era)
	}
	n.checkEra(n.cfg.Now())
}

// writeAgain writes the node's lease, row, owned targets and release in a new era.
func (n *Node) writeAgain(era uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	n.renew(ctx)
	n.publishMember(n.Self())
	for _, name := range n.owner.Targets() {
		n.claimAgain(ctx, name, era)
	}
	n.restoreHead(ctx)
}

// claimAgain writes the record of an owned target in a new era, and drops the target if another node has one there.
func (n *Node) claimAgain(ctx context.Context, name string, era uint64) {
	epoch, owned := n.owner.Epoch(name)
	if !owned || !n.hasLease(n.cfg.Now()) {
		return
	}
	r := owner.Record{Holder: n.Name(), Generation: n.lease.Load().Generation, Epoch: epoch}
	_, err := n.cfg.Platform.Put(ctx, owner.Kind, object.NameInEra(name, era), 0, r)
	var conflict *object.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	var current owner.Record
	if json.Unmarshal(conflict.Current.Value, &current) == nil && current.Holder == r.Holder && current.Generation == r.Generation {
		return
	}
	n.log.With("target", name).Warn("another node owns the target in the new era of the platform; dropping it", nil)
	n.owner.Drop(name)
}

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
// learned of the era stops within a lease, or has written what it holds.
func (n *Node) restoreWait() time.Duration {
	return n.leaseTerms.TakeoverWait() + n.leaseTerms.Duration
}

// mayTakeFromFormerEra reports whether every live node has had the time to write what it holds in this era, so that a target
// without a record there has no owner.
func (n *Node) mayTakeFromFormerEra(now time.Time) bool {
	era := n.era.latest()
	if era == 0 {
		return true
	}
	n.era.mu.Lock()
	restoredAt := n.era.restoredAt
	n.era.mu.Unlock()
	if !restoredAt.IsZero() && now.Sub(restoredAt) < n.restoreWait() {
		return false
	}
	all := true
	for _, m := range n.otherRunningMembers() {
		if n.era.peer(m.Name) < era {
			all = false
			go n.exchangeDigests(context.Background(), m.PeerAddress)
		}
	}
	return all
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

// stored is a record that the platform keeps by era.
type stored[R any] struct {
	record R
	found  bool
	// isFormer is set if the record is of an earlier era; version is then 0, since it has to be written anew.
	isFormer bool
	version  object.Version
	era      uint64
}

// readInEra reads a record that is named by its era.
func readInEra[R any](ctx context.Context, p Platform, kind, name string) (stored[R], error) {
	o, err := object.GetInEra(ctx, p, kind, name)
	if errors.Is(err, object.ErrNotFound) {
		return stored[R]{era: o.Era}, nil
	}
	if err != nil {
		return stored[R]{}, err
	}
	s := stored[R]{found: true, isFormer: o.IsFormer(), era: o.Era}
	if !s.isFormer {
		s.version = o.Object.Version
	}
	if err := json.Unmarshal(o.Object.Value, &s.record); err != nil {
		return stored[R]{}, merry.Prependf(err, "%s %s", kind, name)
	}
	return s, nil
}

// suspend ends the holders of all shards that were opened in an earlier era, and keeps what they know.
func (l *ledgers) suspend(era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard, h := range l.shards {
		select {
		case <-h.ready:
		default:
			// A holder that is being opened checks its era afterwards.
			continue
		}
		if h.holder != nil && h.holder.Era() < era {
			l.carries[shard] = append(l.carries[shard], h.holder.Suspend())
			delete(l.shards, shard)
		}
	}
}

// recoverRows asks every node that may have held a shard for what it knows, and returns an error unless all answer.
func (l *ledgers) recoverRows(ctx context.Context, shard int, era uint64) ([]ledger.Carry, error) {
	n := l.node
	n.learnEra(n.Name(), era)
	l.mu.Lock()
	carries := append([]ledger.Carry(nil), l.carries[shard]...)
	l.mu.Unlock()
	for _, m := range n.otherRunningMembers() {
		client, err := n.conns.Client(m.PeerAddress)
		if err != nil {
			return nil, err
		}
		reply, err := withLedgerTimeout(ctx, &peerpb.CarriesRequest{Shard: int32(shard), Era: era}, client.Carries)
		if err != nil {
			return nil, merry.Prependf(err, "rows of %s", m.Name)
		}
		for _, data := range reply.Carries {
			var c ledger.Carry
			if err := json.Unmarshal(data, &c); err != nil {
				return nil, merry.Prependf(err, "rows of %s", m.Name)
			}
			carries = append(carries, c)
		}
	}
	if len(carries) > 0 {
		n.log.With("shard", shard).With("era", era).With("holders", len(carries)).Info("recovered rows of former holders")
	}
	return carries, nil
}

// Carries serves a peer that opens a ledger shard in a new era.
func (n *Node) Carries(_ context.Context, r *peerpb.CarriesRequest) (*peerpb.CarriesReply, error) {
	n.learnEra(n.Name(), r.Era)
	n.ledgers.mu.Lock()
	defer n.ledgers.mu.Unlock()
	if h, ok := n.ledgers.shards[int(r.Shard)]; ok && h.isOpening() && h.era < r.Era {
		// It may have read rows that are lost now.
		return nil, errOpening
	}
	reply := &peerpb.CarriesReply{}
	for _, c := range n.ledgers.carries[int(r.Shard)] {
		data, err := json.Marshal(c)
		if err != nil {
			return nil, err
		}
		reply.Carries = append(reply.Carries, data)
	}
	return reply, nil
}

var errOpening = merry.Sentinel("the shard is being opened")
