package node

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/lease"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/shutdown"
)

const (
	idlePollInterval = 20 * time.Millisecond
	// reviewInterval is the time between two looks at the requests that run during a planned stop.
	reviewInterval = 20 * time.Millisecond
)

// Drain hands over the owned targets and returns once all requests and attempts have ended, or ctx has. From then on until ctx ends, the
// node serves what ends in time by the plan.
func (n *Node) Drain(ctx context.Context, p shutdown.Plan) {
	n.log.With("grace_ms", p.KilledAt.Sub(p.BeganAt).Milliseconds()).With("answer_by_ms", p.AnswerBy.Sub(p.BeganAt).Milliseconds()).Info("stopping")
	n.updateSelf(func(m member.Member) member.Member { return m.WithState(member.Stopping, n.cfg.Now()) })
	n.coordinator.Drain(p)
	go n.reviewRequests(ctx, p)
	handing, giveUp := context.WithCancel(ctx)
	defer giveUp()
	var handOver sync.WaitGroup
	handOver.Go(func() { n.handOverAll(handing) })
	// The load balancer keeps sending callers here until it notices the new state.
	sleep(ctx, p.LagEndsAt.Sub(n.cfg.Now()))
	n.closed.Store(true)
	n.AwaitIdle(ctx)
	// Nothing else keeps the process: one more call of the platform may take its time.
	limit := time.AfterFunc(n.cfg.Settings.Platform.Timeout.Duration(), giveUp)
	defer limit.Stop()
	handOver.Wait()
	// A target that was being taken when the stop began may have come since.
	n.handOverAll(handing)
	if targets := n.toHandOver(); len(targets) > 0 {
		n.log.With("targets", targets).Info("targets were not handed over; others take them once the lease has ended")
	}
}

// reviewRequests ends the requests for which the rest of a planned stop is too short, until ctx ends.
func (n *Node) reviewRequests(ctx context.Context, p shutdown.Plan) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.cfg.Now()
		for _, x := range n.coordinator.Review(now) {
			n.log.With("request", x.ID).With("stage", x.Stage).With("left_ms", p.EndsAt.Sub(now).Milliseconds()).Info("request ended by the stop")
		}
	}
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

// AwaitIdle returns once no request coordinated here and no attempt on an owned target runs, or ctx ends.
func (n *Node) AwaitIdle(ctx context.Context) {
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
