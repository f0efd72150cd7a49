package node

import (
	"context"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
)

const drainEvery = 20 * time.Millisecond

// Drain hands over what the node owns and returns once all that runs has ended, or ctx has.
func (n *Node) Drain(ctx context.Context) {
	n.log.Info("stopping")
	n.become(func(m member.Member) member.Member { return m.WithState(member.Stopping, n.cfg.Now()) })
	n.handOverAll(ctx)
	// The balancer still sends callers here for a while.
	pause(ctx, n.cfg.Settings.Timing.BalancerLag.Duration())
	n.handOverAll(ctx)
	n.closed.Store(true)
	n.drain(ctx)
}

// Leave ends a node that has drained.
func (n *Node) Leave(ctx context.Context) {
	n.ledgers.close()
	n.leave(ctx)
	n.Kill()
	n.log.Info("stopped")
}

// Kill ends the node's loops and connections at once.
func (n *Node) Kill() {
	n.stop()
	n.server.Stop()
	n.ledgers.stop()
	n.conns.Close()
	n.loops.Wait()
	_ = n.meter.Close()
}

func (n *Node) handOverAll(ctx context.Context) {
	for _, name := range n.owner.Targets() {
		n.handOver(ctx, name)
	}
}

// drain returns once neither a request entered here nor a peer's attempt runs.
func (n *Node) drain(ctx context.Context) {
	for ctx.Err() == nil && (n.entry.Active() > 0 || n.working.Load() > 0) {
		pause(ctx, drainEvery)
	}
}

// leave gives the lease up, so that nobody has to wait it out.
func (n *Node) leave(ctx context.Context) {
	n.leaseMu.Lock()
	n.leaving.Store(true)
	n.leaseMu.Unlock()
	l := *n.lease.Load()
	record := lease.Record{Generation: l.Generation, State: lease.Ended}
	if _, err := n.cfg.Platform.Put(ctx, lease.Kind, n.Name(), l.Version, record); err != nil {
		n.log.Debug("lease cannot be given up: " + err.Error())
	}
	m := n.Self().WithState(member.Gone, n.cfg.Now())
	n.self.Store(&m)
	n.learnMembers([]member.Member{m})
	n.publishMember(m)
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	t := n.table.Load()
	for _, name := range n.randomPeers(t, spreadWidth) {
		if p, ok := t.Get(name); ok {
			n.exchange(ctx, p.PeerAddress)
		}
	}
}
