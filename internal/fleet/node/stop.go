package node

import (
	"context"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const idlePollInterval = 20 * time.Millisecond

// Drain hands over the owned targets and returns once all requests and attempts have ended, or ctx has.
func (n *Node) Drain(ctx context.Context) {
	n.log.Info("stopping")
	n.updateSelf(func(m member.Member) member.Member { return m.WithState(member.Stopping, n.cfg.Now()) })
	n.handOverAll(ctx)
	// The load balancer keeps sending callers here until it notices the new state.
	sleep(ctx, n.cfg.Settings.Timing.BalancerLag.Duration())
	n.handOverAll(ctx)
	n.closed.Store(true)
	n.awaitIdle(ctx)
}

// Leave removes a drained node from the fleet and stops it.
func (n *Node) Leave(ctx context.Context) {
	n.ledgers.close()
	n.leaveFleet(ctx)
	n.Kill()
	n.log.Info("stopped")
}

// Kill stops the node's loops and connections immediately.
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

// awaitIdle returns once no request coordinated here and no attempt on an owned target runs, or ctx ends.
func (n *Node) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil && (n.coordinator.Active() > 0 || n.activeAttempts.Load() > 0) {
		sleep(ctx, idlePollInterval)
	}
}

// leaveFleet ends the lease, so that no other process has to wait for its expiry, and marks the node as gone.
func (n *Node) leaveFleet(ctx context.Context) {
	n.leaseMu.Lock()
	n.leaseGivenUp.Store(true)
	n.leaseMu.Unlock()
	l := *n.lease.Load()
	record := lease.Record{Generation: l.Generation, State: lease.Ended}
	era, version := n.cfg.Platform.Era(), l.Version
	if version.Era() < era {
		version = 0
	}
	if _, err := n.cfg.Platform.Put(ctx, lease.Kind, object.NameInEra(n.Name(), era), version, record); err != nil {
		n.log.Debug("ending the lease failed: " + err.Error())
	}
	m := n.Self().WithState(member.Gone, n.cfg.Now())
	n.self.Store(&m)
	n.mergeMembers([]member.Member{m})
	n.publishMember(m)
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	t := n.table.Load()
	for _, name := range n.randomPeers(t, gossipFanout) {
		if p, ok := t.Get(name); ok {
			n.exchangeDigests(ctx, p.PeerAddress)
		}
	}
}
