package node

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

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
	n.raiseEra(era)
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
	n.raiseEra(r.Era)
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
