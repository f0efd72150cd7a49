package node

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// Status is the status of one node as it reports it.
type Status struct {
	Name       string       `json:"name"`
	Datacentre string       `json:"datacentre"`
	State      member.State `json:"state"`
	// Reachable is set if the node responded.
	Reachable      bool   `json:"heard"`
	Release        uint64 `json:"release"`
	Ready          bool   `json:"ready"`
	ActiveRequests int64  `json:"active"`
	Shards         int    `json:"shards"`
	// StalenessMs is the age of the last contact with the platform, directly or through peers, in milliseconds.
	StalenessMs int64        `json:"freshms"`
	Targets     []TargetLoad `json:"targets"`
}

// TargetLoad is the load of a target as its owner reports it.
type TargetLoad struct {
	Name             string `json:"name"`
	Phase            string `json:"phase"`
	Running          int    `json:"running"`
	Queued           int    `json:"queued"`
	ConcurrencyLimit int    `json:"level"`
	BlockedReason    string `json:"refusal,omitempty"`
}

// Status returns this node's active release, its state and the load of its targets.
func (n *Node) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	reply := &peerpb.StatusReply{
		Release: n.releaseNumber(),
		Ready:   n.Ready(),
		State:   string(n.Self().State),
		Active:  n.coordinator.Active(),
		Shards:  int32(n.ledgers.heldCount()),
		FreshUs: n.cfg.Now().Sub(n.contacts.lastPlatform()).Microseconds(),
	}
	for _, name := range n.owner.Targets() {
		if l := n.loadToProto(name); l != nil {
			reply.Loads = append(reply.Loads, l)
		}
	}
	return reply, nil
}

// Statuses returns the status of every member that is not gone.
func (n *Node) Statuses(ctx context.Context) []Status {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var list []Status
	var calls sync.WaitGroup
	for _, m := range n.table.Load().Rows() {
		if m.State == member.Gone {
			continue
		}
		calls.Go(func() {
			s := n.memberStatus(ctx, m)
			mu.Lock()
			list = append(list, s)
			mu.Unlock()
		})
	}
	calls.Wait()
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (n *Node) memberStatus(ctx context.Context, m member.Member) Status {
	s := Status{Name: m.Name, Datacentre: m.Datacentre, State: m.State, Targets: []TargetLoad{}}
	reply, err := n.fetchStatus(ctx, m)
	if err != nil {
		return s
	}
	s.Reachable, s.Release, s.Ready = true, reply.Release, reply.Ready
	s.State, s.ActiveRequests, s.Shards = member.State(reply.State), reply.Active, int(reply.Shards)
	s.StalenessMs = (time.Duration(reply.FreshUs) * time.Microsecond).Milliseconds()
	for _, l := range reply.Loads {
		s.Targets = append(s.Targets, n.targetLoad(l))
	}
	sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].Name < s.Targets[j].Name })
	return s
}

func (n *Node) fetchStatus(ctx context.Context, m member.Member) (*peerpb.StatusReply, error) {
	if m.Name == n.Name() {
		return n.Status(ctx, nil)
	}
	client, err := n.conns.Client(m.PeerAddress)
	if err != nil {
		return nil, err
	}
	return client.Status(ctx, &peerpb.StatusRequest{})
}

func (n *Node) targetLoad(l *peerpb.Load) TargetLoad {
	t := TargetLoad{Name: l.Target, Phase: "warm", Running: int(l.Running), Queued: int(l.Queued), ConcurrencyLimit: int(l.Level)}
	if l.Cold {
		t.Phase = "cold"
	}
	c := n.catalog.Load()
	if p, ok := c.targets[l.Target]; ok {
		n.changes.Lock()
		t.BlockedReason = n.blockedReason(c, p)
		n.changes.Unlock()
	}
	return t
}

// OwnedTargets returns the names of the targets that this node owns.
func (n *Node) OwnedTargets() []string { return n.owner.Targets() }

// FencingToken returns the fencing token with which this node may send to a target, and false if it does not own it or has no lease.
func (n *Node) FencingToken(target string) (uint64, bool) {
	epoch, owned := n.owner.Epoch(target)
	return epoch, owned && n.hasLease(n.cfg.Now())
}
