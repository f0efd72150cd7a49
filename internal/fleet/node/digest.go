package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/vm"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const (
	peerCallTimeout = time.Second
	gossipFanout    = 3
	// A peer with a different table is first sent the rows that changed within recentChangeWindow; if its table
	// still differs within fullTableWindow, it is sent the full table.
	recentChangeWindow = 10 * time.Second
	fullTableWindow    = 5 * time.Second
)

// sendHeartbeats sends a heartbeat to the witnesses of this node and to one random peer, or to the seeds if it knows no
// peer.
func (n *Node) sendHeartbeats(ctx context.Context) {
	t := n.table.Load()
	recipients := append(witnessesFor(t, n.Self()), n.witness.ownWitnesses()...)
	recipients = append(recipients, n.randomPeers(t, 1)...)
	sent := map[string]bool{}
	for _, name := range recipients {
		if m, ok := t.Get(name); ok && !sent[name] {
			sent[name] = true
			go n.exchangeDigests(ctx, m.PeerAddress)
		}
	}
	if len(sent) > 0 {
		return
	}
	for _, seed := range n.cfg.Settings.Peer.Seeds {
		if seed != n.PeerAddress() {
			go n.exchangeDigests(ctx, seed)
		}
	}
}

// gossip immediately exchanges digests with a few random peers, so that a change spreads fast.
func (n *Node) gossip() {
	t := n.table.Load()
	for _, name := range n.randomPeers(t, gossipFanout) {
		if m, ok := t.Get(name); ok {
			go n.exchangeDigests(context.Background(), m.PeerAddress)
		}
	}
}

// randomPeers returns random nodes that are not known to be gone.
func (n *Node) randomPeers(t *member.Table, count int) []string {
	var names []string
	for _, m := range t.Rows() {
		if m.Name != n.Name() && m.State != member.Gone {
			names = append(names, m.Name)
		}
	}
	for i := range min(count, len(names)) {
		j := i + n.randIntN(len(names)-i)
		names[i], names[j] = names[j], names[i]
	}
	return names[:min(count, len(names))]
}

// exchangeDigests sends a digest and applies the reply; an unresponsive connection is discarded.
func (n *Node) exchangeDigests(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	client, err := n.conns.Client(address)
	if err != nil {
		return
	}
	reply, err := client.Digest(ctx, n.digest(nil))
	if err != nil {
		if ctx.Err() != nil {
			n.conns.Discard(client)
		}
		return
	}
	n.applyDigest(reply)
	if n.isBehind(reply) {
		_, _ = client.Digest(ctx, n.digest(reply))
	}
	if reply.Release > n.releaseNumber() {
		n.pullRelease(ctx, address)
	}
}

// isBehind reports whether the peer lacks state that this node could send.
func (n *Node) isBehind(other *peerpb.DigestMessage) bool {
	return other.Table != n.table.Load().Hash() || other.Vms < n.currentLeavingVMs().Revision
}

// digest returns a summary of this node's state, with the state that the sender of the other digest lacks.
func (n *Node) digest(other *peerpb.DigestMessage) *peerpb.DigestMessage {
	t := n.table.Load()
	leavingVMs := n.currentLeavingVMs()
	d := &peerpb.DigestMessage{
		Sender:  memberToProto(n.Self()),
		Release: n.releaseNumber(),
		FreshUs: n.cfg.Now().Sub(n.contacts.lastPlatform()).Microseconds(),
		Table:   t.Hash(),
		Vms:     leavingVMs.Revision,
		Ready:   n.Ready(),
		Wardens: n.witness.ownWitnesses(),
		Era:     n.era.latest(),
		Written: n.era.writtenIn(),
	}
	if other == nil {
		return d
	}
	if other.Table != d.Table {
		d.Members = n.rowsToSend(other.GetSender().GetName(), t)
	}
	if other.Vms < leavingVMs.Revision {
		d.Leavers, d.Whole = leavingVMs.Names, true
	}
	return d
}

// rowsToSend returns the rows that a peer with a different table probably lacks: those that changed recently, or
// all rows if the peer was sent rows within fullTableWindow and still differs.
func (n *Node) rowsToSend(name string, t *member.Table) []*peerpb.Member {
	now := n.cfg.Now()
	sendAll := n.contacts.markRowsSent(now, name)
	var list []*peerpb.Member
	for _, m := range t.Rows() {
		if sendAll || now.Sub(time.UnixMilli(m.ChangedAt)) < recentChangeWindow {
			list = append(list, memberToProto(m))
		}
	}
	return list
}

// Digest applies a peer's heartbeat and returns this node's own.
func (n *Node) Digest(_ context.Context, d *peerpb.DigestMessage) (*peerpb.DigestMessage, error) {
	n.applyDigest(d)
	if m, ok := n.table.Load().Get(d.Sender.GetName()); ok && d.Release > n.releaseNumber() {
		go n.pullInBackground(m.PeerAddress)
	}
	return n.digest(d), nil
}

func (n *Node) pullInBackground(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	n.pullRelease(ctx, address)
}

func (n *Node) applyDigest(d *peerpb.DigestMessage) {
	now := n.cfg.Now()
	rows := []member.Member{memberFromProto(d.GetSender())}
	for _, m := range d.Members {
		rows = append(rows, memberFromProto(m))
	}
	n.learnEra(rows[0].Name, d.Era, d.Written)
	n.mergeMembers(rows)
	n.contacts.recordPeer(now, rows[0].Name, rows[0].Datacentre)
	n.witness.setSubject(rows[0].Name, contains(d.Wardens, n.Name()))
	n.raiseHighestRelease(d.Release)
	if d.Whole {
		n.setLeavingVMs(vm.LeavingSet{Revision: d.Vms, Names: d.Leavers})
	}
	if d.Release == n.releaseNumber() && d.FreshUs >= 0 {
		n.contacts.recordPlatform(now.Add(-time.Duration(d.FreshUs) * time.Microsecond))
	}
}

// pullRelease fetches a newer release from a peer and activates it.
func (n *Node) pullRelease(ctx context.Context, address string) {
	client, err := n.conns.Client(address)
	if err != nil {
		return
	}
	current := n.Release()
	request := &peerpb.ChunksRequest{Below: n.releaseNumber()}
	if current != nil {
		request.Have = current.Head.Chunks
	}
	reply, err := client.Chunks(ctx, request)
	if err == nil && len(reply.Head) > 0 {
		err = n.activateChunks(current, reply)
	}
	if err != nil {
		n.log.Debug("pulling a release from a peer failed: " + err.Error())
	}
}

func (n *Node) activateChunks(current *release.Release, reply *peerpb.ChunksReply) error {
	var h release.Head
	if err := json.Unmarshal(reply.Head, &h); err != nil {
		return merry.Prepend(err, "pull release")
	}
	var chunks []release.Chunk
	for _, data := range reply.Chunks {
		chunks = append(chunks, release.NewChunk(data))
	}
	next, err := current.Build(h, chunks)
	if err != nil {
		return err
	}
	n.ActivateRelease(next)
	return nil
}

// Chunks returns the chunks of the active release that a peer lacks.
func (n *Node) Chunks(_ context.Context, r *peerpb.ChunksRequest) (*peerpb.ChunksReply, error) {
	current := n.Release()
	if current == nil || current.Head.Number <= r.Below {
		return &peerpb.ChunksReply{}, nil
	}
	head, err := json.Marshal(current.Head)
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ChunksReply{Head: head}
	have := make(map[string]bool, len(r.Have))
	for _, hash := range r.Have {
		have[hash] = true
	}
	for _, hash := range current.Head.Chunks {
		data, ok := current.Chunk(hash)
		if ok && !have[hash] {
			reply.Chunks = append(reply.Chunks, data)
		}
	}
	return reply, nil
}

func memberToProto(m member.Member) *peerpb.Member {
	return &peerpb.Member{
		Name:       m.Name,
		Generation: m.Generation,
		Change:     m.Revision,
		Datacentre: m.Datacentre,
		Peer:       m.PeerAddress,
		Caller:     m.CallerAddress,
		State:      string(m.State),
		At:         m.ChangedAt,
	}
}

func memberFromProto(m *peerpb.Member) member.Member {
	return member.Member{
		Name:          m.GetName(),
		Generation:    m.GetGeneration(),
		Revision:      m.GetChange(),
		Datacentre:    m.GetDatacentre(),
		PeerAddress:   m.GetPeer(),
		CallerAddress: m.GetCaller(),
		State:         member.State(m.GetState()),
		ChangedAt:     m.GetAt(),
	}
}
