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
	// graceInterval is the time between two looks at the grace period that the settings name.
	graceInterval = 200 * time.Millisecond
	// lastAnswers is how long answers to other nodes may take to be sent; calls that follow a node's view do not end by themselves.
	lastAnswers = 100 * time.Millisecond
	// loggedRequests bounds the requests that one line of the log names.
	loggedRequests = 20
)

// stopPlan is the plan of a stop, which changes if the VM is suspended or the grace period becomes shorter.
type stopPlan struct {
	began time.Time
	grace time.Duration
	lost  time.Duration
	clock suspendClock
}

// current returns the plan as it stands.
func (p *stopPlan) current() shutdown.Plan {
	return shutdown.NewPlan(p.began, p.grace, balancerLag).WithLost(p.lost)
}

// Stop drains and stops the node: it becomes not ready, keeps serving until the load balancer has stopped using it, and
// finishes what it accepts within the grace period.
func (n *Node) Stop() {
	started := n.cfg.Now()
	stop := &stopPlan{began: started, grace: n.gracePeriod(n.cfg.Settings.GracePeriod)}
	plan := stop.current()
	n.cfg.Log.WithFields(logrus.Fields{"grace_ms": stop.grace.Milliseconds(), "answer_by_ms": plan.AnswerBy.Sub(started).Milliseconds()}).Info("node: stopping")
	n.draining.Store(true)
	n.gateway.Drain(plan)
	n.callerListener.EndKeepAlives()
	n.dispatcher.Drain()
	go n.deregister()
	n.view.broadcaster.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lagEnded := make(chan struct{})
	go n.review(ctx, stop, reviewEvents{onLagEnded: func() { close(lagEnded) }, onEnd: cancel})
	select {
	case <-lagEnded:
	case <-ctx.Done():
	}
	conns := n.callerListener.Connections()
	n.cfg.Log.WithFields(logrus.Fields{"new": conns.New, "active": conns.Active, "ms": n.cfg.Now().Sub(started).Milliseconds()}).Info("node: no longer listens")
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

// gracePeriod returns the grace period that the settings name now, or the known one if that is shorter: the platform's kill may follow
// either.
func (n *Node) gracePeriod(known time.Duration) time.Duration {
	if n.cfg.GracePeriod == nil {
		return known
	}
	grace, err := n.cfg.GracePeriod()
	if err != nil {
		n.cfg.Log.WithError(err).WithField("grace_ms", known.Milliseconds()).Warn("node: grace period cannot be read again; the known one stays in force")
		return known
	}
	return min(known, grace)
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

// reviewEvents are called once each, as a stop goes on.
type reviewEvents struct {
	// onLagEnded is called when the load balancer no longer sends new connections, onEnd once what still runs has to be closed.
	onLagEnded, onEnd func()
}

// review ends the requests for which the rest of a planned stop is too short.
func (n *Node) review(ctx context.Context, stop *stopPlan, events reviewEvents) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	hasLagged, readAt := false, stop.began
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.cfg.Now()
		lost, err := stop.clock.Lost()
		if err != nil {
			n.cfg.Log.WithError(err).Warn("node: the time that the VM was suspended is not known")
		}
		if lost > 0 {
			n.cfg.Log.WithField("lost_ms", lost.Milliseconds()).Warn("node: VM was suspended during the stop")
			stop.lost += lost
		}
		if now.Sub(readAt) >= graceInterval {
			readAt = now
			if grace := n.gracePeriod(stop.grace); grace < stop.grace {
				n.cfg.Log.WithFields(logrus.Fields{"grace_ms": grace.Milliseconds(), "former_ms": stop.grace.Milliseconds()}).Warn("node: grace period is shorter now")
				stop.grace = grace
			}
		}
		plan := stop.current()
		n.gateway.Review(now, plan)
		if !hasLagged && !now.Before(plan.LagEndsAt) {
			hasLagged = true
			events.onLagEnded()
		}
		if now.After(plan.ClosesAt()) {
			events.onEnd()
			return
		}
	}
}
