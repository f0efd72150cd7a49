package gatewaynode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/shutdown"
)

const (
	// balancerLag is how long the load balancer may keep sending connections to a node that is not ready: two readiness
	// checks one second apart, plus the network delay.
	balancerLag = 2500 * time.Millisecond
	// reviewInterval is the time between two looks at the requests that run during a planned stop.
	reviewInterval = 20 * time.Millisecond
	// lastAnswers is how long answers to other nodes may take to be sent; calls that follow a node's view do not end by themselves.
	lastAnswers = 100 * time.Millisecond
	// loggedRequests bounds the requests that one line of the log names.
	loggedRequests = 20
)

// Stop drains and stops the node: it becomes not ready, keeps serving until the load balancer has stopped using it, and
// finishes what it accepts within the grace period.
func (n *Node) Stop() {
	started := n.cfg.Now()
	plan := shutdown.NewPlan(started, n.cfg.Settings.GracePeriod, balancerLag)
	n.cfg.Log.WithFields(logrus.Fields{"grace_ms": n.cfg.Settings.GracePeriod.Milliseconds(), "answer_by_ms": plan.AnswerBy.Sub(started).Milliseconds()}).Info("node: stopping")
	n.draining.Store(true)
	n.gateway.Drain(plan)
	n.callerListener.EndKeepAlives()
	n.dispatcher.Drain()
	go n.deregister()
	n.view.broadcaster.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.review(ctx, cancel, plan)
	sleep(ctx, plan.LagEndsAt.Sub(n.cfg.Now()))
	conns := n.callerListener.Connections()
	n.cfg.Log.WithFields(logrus.Fields{"new": conns.New, "active": conns.Active, "left_ms": plan.EndsAt.Sub(n.cfg.Now()).Milliseconds()}).Info("node: no longer listens")
	if err := n.callerListener.Drain(ctx); err != nil {
		running := n.gateway.Running()
		n.cfg.Log.WithError(err).WithFields(logrus.Fields{"running": len(running), "requests": running[:min(len(running), loggedRequests)]}).Warn("node: requests were still running at the end of the grace period")
		_ = n.callerServer.Close()
	}
	if groups := n.dispatcher.AwaitIdle(ctx); groups > 0 {
		n.cfg.Log.WithField("groups", groups).Warn("node: pieces of other nodes were still running at the end of the grace period")
	}
	n.stopPeers(ctx)
	n.Kill()
	n.cfg.Log.WithFields(logrus.Fields{"ms": n.cfg.Now().Sub(started).Milliseconds(), "accepted": n.callerListener.Connections().Accepted}).Info("node: stopped")
}

// stopPeers ends the interface for other nodes once its last answers have been sent.
func (n *Node) stopPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastAnswers)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.peerServer.GracefulStop()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// review ends the requests for which the rest of a planned stop is too short, and calls stop once what still runs has to be closed.
func (n *Node) review(ctx context.Context, stop context.CancelFunc, plan shutdown.Plan) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	clock := newSuspendClock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		lost, err := clock.Lost()
		if err != nil {
			n.cfg.Log.WithError(err).Warn("node: the time that the VM was suspended is not known")
		}
		if lost > 0 {
			n.cfg.Log.WithField("lost_ms", lost.Milliseconds()).Warn("node: VM was suspended during the stop")
			plan = plan.WithLost(lost)
		}
		now := n.cfg.Now()
		n.gateway.Review(now, plan)
		if now.After(plan.EndsAt.Add(plan.KilledAt.Sub(plan.EndsAt) / 2)) {
			stop()
			return
		}
	}
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
