package node

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// Status is what one node says of itself.
type Status struct {
	Name       string       `json:"name"`
	Datacentre string       `json:"datacentre"`
	State      member.State `json:"state"`
	// Reachable tells whether the node answered.
	Reachable      bool         `json:"heard"`
	Release        uint64       `json:"release"`
	Ready          bool         `json:"ready"`
	ActiveRequests int64        `json:"active"`
	Shards         int          `json:"shards"`
	StalenessMs    int64        `json:"freshms"`
	Targets        []TargetLoad `json:"targets"`
}

// TargetLoad is what an owner says of a target.
type TargetLoad struct {
	Name          string `json:"name"`
	Phase         string `json:"phase"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	Level         int    `json:"level"`
	BlockedReason string `json:"refusal,omitempty"`
}

// Status says what this node has in force and what it owns.
func (n *Node) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	reply := &peerpb.StatusReply{
		Release: n.releaseNumber(),
		Ready:   n.Ready(),
		State:   string(n.Self().State),
		Active:  n.entry.Active(),
		Shards:  int32(n.ledgers.held()),
		FreshUs: n.cfg.Now().Sub(n.hearing.freshest()).Microseconds(),
	}
	for _, name := range n.owner.Targets() {
		if l := n.load(name); l != nil {
			reply.Loads = append(reply.Loads, l)
		}
	}
	return reply, nil
}

// Statuses asks every member that is not gone.
func (n *Node) Statuses(ctx context.Context) []Status {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var mu sync.Mutex
	var list []Status
	var calls sync.WaitGroup
	for _, m := range n.table.Load().Rows() {
		if m.State == member.Gone {
			continue
		}
		calls.Go(func() {
			s := n.statusOf(ctx, m)
			mu.Lock()
			list = append(list, s)
			mu.Unlock()
		})
	}
	calls.Wait()
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (n *Node) statusOf(ctx context.Context, m member.Member) Status {
	s := Status{Name: m.Name, Datacentre: m.Datacentre, State: m.State, Targets: []TargetLoad{}}
	reply, err := n.askStatus(ctx, m)
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

func (n *Node) askStatus(ctx context.Context, m member.Member) (*peerpb.StatusReply, error) {
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
	t := TargetLoad{Name: l.Target, Phase: "warm", Running: int(l.Running), Queued: int(l.Queued), Level: int(l.Level)}
	if l.Cold {
		t.Phase = "cold"
	}
	c := n.catalog.Load()
	if p, ok := c.targets[l.Target]; ok {
		n.changes.Lock()
		t.BlockedReason = n.refusal(c, p)
		n.changes.Unlock()
	}
	return t
}

// OwnedTargets names the targets that this node owns.
func (n *Node) OwnedTargets() []string { return n.owner.Targets() }
