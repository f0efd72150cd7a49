package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// goneCarriesTimeout bounds the wait for the rows of a node that the fleet counts as gone: it may answer, since a lease also ends while
// its process is slow, but most such nodes never do, and ledgerTimeout is the time for opening a shard.
const goneCarriesTimeout = ledgerTimeout / 4

// suspend ends the holders of all shards that were opened in an earlier era, and keeps what they know.
func (l *ledgers) suspend(era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard, h := range l.shards {
		if h.isOpening() {
			// It checks its era afterwards.
			continue
		}
		if h.holder != nil && h.holder.Era() < era {
			l.keepLocked(shard, h.holder)
			delete(l.shards, shard)
		}
	}
}

// keepLocked ends a holder and keeps what it knows. A holder that has lost its shard may be the only one to know its last rows: the write
// that told it may have been the first to meet a new era.
func (l *ledgers) keepLocked(shard int, h *ledger.Holder) {
	l.carries[shard] = l.carries[shard].Merge(l.node.cfg.Now(), h.Suspend())
}

// pruneCarries drops what is older than any copy that the platform may come back from.
func (l *ledgers) pruneCarries(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard, c := range l.carries {
		if c = c.Merge(now, ledger.Carry{}); len(c.Rows) > 0 {
			l.carries[shard] = c
			continue
		}
		delete(l.carries, shard)
	}
}

// recoverRows asks every node that may have held a shard for what it knows, and returns an error unless all that the fleet does not count
// as gone answer.
func (l *ledgers) recoverRows(ctx context.Context, shard int, era uint64) ([]ledger.Carry, error) {
	n := l.node
	n.raiseEra(era)
	l.mu.Lock()
	carries := []ledger.Carry{l.carries[shard]}
	l.mu.Unlock()
	former := n.formerHolders(n.cfg.Now())
	replies, errs := make([]ledger.Carry, len(former)), make([]error, len(former))
	var asks sync.WaitGroup
	for i, m := range former {
		asks.Go(func() { replies[i], errs[i] = n.askCarry(ctx, m, shard, era) })
	}
	asks.Wait()
	rows := 0
	for i, m := range former {
		switch {
		case errs[i] == nil:
			carries = append(carries, replies[i])
			rows += len(replies[i].Rows)
		case m.State == member.Gone:
			n.log.With("shard", shard).With("node", m.Name).Info("a node that is gone does not hand on its rows: " + errs[i].Error())
		default:
			return nil, merry.Prependf(errs[i], "rows of %s", m.Name)
		}
	}
	if rows += len(carries[0].Rows); rows > 0 {
		n.log.With("shard", shard).With("era", era).With("rows", rows).Info("recovered rows of former holders")
	}
	return carries, nil
}

// formerHolders lists the other nodes whose processes may know rows of the ledger.
func (n *Node) formerHolders(now time.Time) []member.Member {
	var list []member.Member
	for _, m := range n.table.Load().Rows() {
		switch {
		case m.Name == n.Name():
		case m.State == member.Live, m.State == member.Stopping:
			list = append(list, m)
		case m.State == member.Gone && now.Sub(time.UnixMilli(m.ChangedAt)) < ledger.CarryWindow:
			list = append(list, m)
		}
	}
	return list
}

// askCarry asks a node for what its former holders knew of a shard.
func (n *Node) askCarry(ctx context.Context, m member.Member, shard int, era uint64) (ledger.Carry, error) {
	if m.State == member.Gone {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, goneCarriesTimeout)
		defer cancel()
	}
	client, err := n.conns.Client(m.PeerAddress)
	if err != nil {
		return ledger.Carry{}, err
	}
	reply, err := withLedgerTimeout(ctx, &peerpb.CarriesRequest{Shard: int32(shard), Era: era}, client.Carries)
	if err != nil {
		return ledger.Carry{}, err
	}
	var all ledger.Carry
	for _, data := range reply.Carries {
		var c ledger.Carry
		if err := json.Unmarshal(data, &c); err != nil {
			return ledger.Carry{}, err
		}
		all = all.Merge(n.cfg.Now(), c)
	}
	return all, nil
}

// Carries serves a peer that opens a ledger shard in a new era.
func (n *Node) Carries(_ context.Context, r *peerpb.CarriesRequest) (*peerpb.CarriesReply, error) {
	n.raiseEra(r.Era)
	n.ledgers.mu.Lock()
	defer n.ledgers.mu.Unlock()
	if h, ok := n.ledgers.shards[int(r.Shard)]; ok && h.isOpening() && h.era < r.Era {
		// It may have read rows that are lost now.
		return nil, errOpening
	}
	data, err := json.Marshal(n.ledgers.carries[int(r.Shard)])
	if err != nil {
		return nil, err
	}
	return &peerpb.CarriesReply{Carries: [][]byte{data}}, nil
}

var errOpening = merry.Sentinel("the shard is being opened")
