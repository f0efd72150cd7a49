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
	beatTimeout = time.Second
	spreadWidth = 3
	// lately is how far back a change of a row is told first, tableEvery how soon the whole table follows.
	lately     = 10 * time.Second
	tableEvery = 5 * time.Second
)

// beat sends a heartbeat to the nodes that watch this one and to one more at random.
func (n *Node) beat(ctx context.Context) {
	t := n.table.Load()
	targets := append(wardensFor(t, n.Self()), n.wards.wardens()...)
	targets = append(targets, n.randomPeers(t, 1)...)
	sent := map[string]bool{}
	for _, name := range targets {
		if m, ok := t.Get(name); ok && !sent[name] {
			sent[name] = true
			go n.exchange(ctx, m.PeerAddress)
		}
	}
	if len(sent) > 0 {
		return
	}
	for _, seed := range n.cfg.Settings.Peer.Seeds {
		if seed != n.PeerAddress() {
			go n.exchange(ctx, seed)
		}
	}
}

// spread tells a few nodes at once that something has changed.
func (n *Node) spread() {
	t := n.table.Load()
	for _, name := range n.randomPeers(t, spreadWidth) {
		if m, ok := t.Get(name); ok {
			go n.exchange(context.Background(), m.PeerAddress)
		}
	}
}

// randomPeers draws nodes that are not known to be gone.
func (n *Node) randomPeers(t *member.Table, count int) []string {
	var names []string
	for _, m := range t.Rows() {
		if m.Name != n.Name() && m.State != member.Gone {
			names = append(names, m.Name)
		}
	}
	for i := range min(count, len(names)) {
		j := i + n.pick(len(names)-i)
		names[i], names[j] = names[j], names[i]
	}
	return names[:min(count, len(names))]
}

// exchange sends a digest and takes in the reply; a connection that stays silent is left.
func (n *Node) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	client, err := n.conns.Client(address)
	if err != nil {
		return
	}
	reply, err := client.Digest(ctx, n.digest(nil))
	if err != nil {
		if ctx.Err() != nil {
			n.conns.Discard(address)
		}
		return
	}
	n.takeDigest(reply)
	if n.behind(reply) {
		_, _ = client.Digest(ctx, n.digest(reply))
	}
	if reply.Release > n.releaseNumber() {
		n.pull(ctx, address)
	}
}

// behind tells whether the other side lacks something that this one could send along.
func (n *Node) behind(other *peerpb.DigestMessage) bool {
	return other.Table != n.table.Load().Hash() || other.Vms < n.currentLeavers().Revision
}

// digest is this node's state; what the other side of an earlier digest lacks is put in whole.
func (n *Node) digest(other *peerpb.DigestMessage) *peerpb.DigestMessage {
	t := n.table.Load()
	leavers := n.currentLeavers()
	d := &peerpb.DigestMessage{
		Sender:  packMember(n.Self()),
		Release: n.releaseNumber(),
		FreshUs: n.cfg.Now().Sub(n.hearing.freshest()).Microseconds(),
		Table:   t.Hash(),
		Vms:     leavers.Revision,
		Ready:   n.Ready(),
		Wardens: n.wards.wardens(),
	}
	if other == nil {
		return d
	}
	if other.Table != d.Table {
		d.Members = n.rowsFor(other.GetSender().GetName(), t)
	}
	if other.Vms < leavers.Revision {
		d.Leavers, d.Whole = leavers.Names, true
	}
	return d
}

// rowsFor gives the rows that a node with another table probably lacks: those that changed lately, and
// all if that was not enough a moment ago.
func (n *Node) rowsFor(name string, t *member.Table) []*peerpb.Member {
	now := n.cfg.Now()
	whole := n.hearing.sentLately(now, name)
	var list []*peerpb.Member
	for _, m := range t.Rows() {
		if whole || now.Sub(time.UnixMilli(m.ChangedAt)) < lately {
			list = append(list, packMember(m))
		}
	}
	return list
}

// Digest takes a peer's heartbeat in and answers with this node's own.
func (n *Node) Digest(_ context.Context, d *peerpb.DigestMessage) (*peerpb.DigestMessage, error) {
	n.takeDigest(d)
	if m, ok := n.table.Load().Get(d.Sender.GetName()); ok && d.Release > n.releaseNumber() {
		go n.pullLater(m.PeerAddress)
	}
	return n.digest(d), nil
}

func (n *Node) pullLater(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	n.pull(ctx, address)
}

func (n *Node) takeDigest(d *peerpb.DigestMessage) {
	now := n.cfg.Now()
	rows := []member.Member{unpackMember(d.GetSender())}
	for _, m := range d.Members {
		rows = append(rows, unpackMember(m))
	}
	n.learnMembers(rows)
	n.hearing.peer(now, rows[0].Name, rows[0].Datacentre)
	n.wards.learn(rows[0].Name, contains(d.Wardens, n.Name()))
	n.raise(d.Release)
	if d.Whole {
		n.learnLeavers(vm.LeavingSet{Revision: d.Vms, Names: d.Leavers})
	}
	if d.Release == n.releaseNumber() && d.FreshUs >= 0 {
		n.hearing.fresh(now.Add(-time.Duration(d.FreshUs) * time.Microsecond))
	}
}

// pull fetches a higher release from a peer.
func (n *Node) pull(ctx context.Context, address string) {
	client, err := n.conns.Client(address)
	if err != nil {
		return
	}
	own := n.Release()
	request := &peerpb.ChunksRequest{Below: n.releaseNumber()}
	if own != nil {
		request.Have = own.Head.Chunks
	}
	reply, err := client.Chunks(ctx, request)
	if err == nil && len(reply.Head) > 0 {
		err = n.takeChunks(own, reply)
	}
	if err != nil {
		n.log.Debug("release cannot be pulled: " + err.Error())
	}
}

func (n *Node) takeChunks(own *release.Release, reply *peerpb.ChunksReply) error {
	var h release.Head
	if err := json.Unmarshal(reply.Head, &h); err != nil {
		return merry.Prepend(err, "pull release")
	}
	var fresh []release.Chunk
	for _, data := range reply.Chunks {
		fresh = append(fresh, release.NewChunk(data))
	}
	next, err := own.Build(h, fresh)
	if err != nil {
		return err
	}
	n.ActivateRelease(next)
	return nil
}

// Chunks gives a peer what it lacks of the release in force here.
func (n *Node) Chunks(_ context.Context, r *peerpb.ChunksRequest) (*peerpb.ChunksReply, error) {
	own := n.Release()
	if own == nil || own.Head.Number <= r.Below {
		return &peerpb.ChunksReply{}, nil
	}
	head, err := json.Marshal(own.Head)
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ChunksReply{Head: head}
	have := make(map[string]bool, len(r.Have))
	for _, hash := range r.Have {
		have[hash] = true
	}
	for _, hash := range own.Head.Chunks {
		data, ok := own.Chunk(hash)
		if ok && !have[hash] {
			reply.Chunks = append(reply.Chunks, data)
		}
	}
	return reply, nil
}

func packMember(m member.Member) *peerpb.Member {
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

func unpackMember(m *peerpb.Member) member.Member {
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
