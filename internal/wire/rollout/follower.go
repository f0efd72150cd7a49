package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/rollout/rolloutpb"
)

const (
	// tickInterval is how often a node looks at its rollouts while there are any.
	tickInterval = 100 * time.Millisecond
	// reportInterval is how often a node reports; a failure at the new version is reported at the next tick.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds the time in which a collector answers: several round trips.
	reportTimeout = 400 * time.Millisecond
	// collectors is the number of nodes that collect the evidence on a rollout: one may be lost at any time.
	collectors = 2
	// writeRetry is the delay before a state is written again, unless the store has shown that it has one.
	writeRetry = 500 * time.Millisecond
	// maxWriteRetry bounds the delay while the store is unavailable.
	maxWriteRetry = 4 * time.Second
)

// Config holds the dependencies of a Follower.
type Config struct {
	// Self is the name of this node.
	Self     string
	Keeper   *rollout.Keeper
	Registry func() *registry.Registry
	// Write stores a state of a rollout if the stored object is still the one that the node knows.
	Write func(context.Context, rollout.Progress, rollout.State) error
	Meter Meter
	Log   logrus.FieldLogger
	Now   func() time.Time
}

// Meter records the metrics of a Follower.
type Meter interface {
	// SetRollout sets how far the rollout of a service is at this node.
	SetRollout(service, step string, requests, sent int)
	// CountRolloutWrite counts a write of a rollout's state by its result.
	CountRolloutWrite(service, state, result string)
}

// Follower takes the rollouts of a node through their steps.
type Follower struct {
	cfg   Config
	nodes *connection.Nodes
	// changed is sent to when there is a new order.
	changed chan struct{}

	mu         sync.Mutex
	backoffs   map[string]connection.NodeBackoff
	reportedAt map[string]time.Time
	steps      map[string]rollout.Step
	writes     map[string]writeState
}

// writeState is what a node knows of its attempts to write a state of an order. Those to write another one say nothing of it.
type writeState struct {
	order     rollout.Order
	state     rollout.State
	isRunning bool
	failures  int
	notBefore time.Time
}

// NewFollower returns a follower without connections.
func NewFollower(cfg Config) *Follower {
	return &Follower{
		cfg: cfg, nodes: connection.NewNodes(), changed: make(chan struct{}, 1),
		backoffs: map[string]connection.NodeBackoff{}, reportedAt: map[string]time.Time{}, steps: map[string]rollout.Step{}, writes: map[string]writeState{},
	}
}

// Close closes the connections to other nodes.
func (f *Follower) Close() { f.nodes.Close() }

// OrderChanged tells the follower that an order, or its state, has changed.
func (f *Follower) OrderChanged() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Run takes rollouts through their steps until the context ends. It sleeps while there are none and no version is withdrawn.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	ticker.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
			ticker.Reset(tickInterval)
		case <-ticker.C:
		}
		list := f.cfg.Keeper.Rollouts()
		for _, p := range list {
			f.advance(ctx, p)
		}
		f.endSteps(list)
		if hasWithdrawn := f.cfg.Keeper.ForgetGone(f.cfg.Now(), f.cfg.Registry()); len(list) == 0 && !hasWithdrawn {
			ticker.Stop()
		}
	}
}

// advance reports on a rollout if that is due, and writes its state if this node is to do so.
func (f *Follower) advance(ctx context.Context, p rollout.Progress) {
	now := f.cfg.Now()
	service := p.Order.Service
	ranked := f.collectors(now, service)
	r := f.cfg.Registry()
	if report, isUrgent, ok := f.cfg.Keeper.Report(now, service); ok && f.isReportDue(now, service, isUrgent) {
		f.cfg.Keeper.Sent(service)
		for _, name := range ranked[:min(len(ranked), collectors)] {
			if name == f.cfg.Self {
				f.cfg.Keeper.Receive(now, report, r.NodeNames())
				continue
			}
			go f.tell(ctx, name, report)
		}
	}
	rank := slices.Index(ranked, f.cfg.Self)
	if rank < 0 {
		return
	}
	p, situation, action := f.cfg.Keeper.Decide(now, service, rank, r.NodeNames(), r.Usable(service))
	f.logStep(now, p, situation)
	if w, ok := action.(rollout.Write); ok {
		f.write(ctx, now, p, w, situation)
	}
}

// collectors ranks the nodes that answer; the first ones collect the evidence on the rollout of a service.
func (f *Follower) collectors(now time.Time, service string) []string {
	r := f.cfg.Registry()
	ranked := rendezvous.Rank("rollout/"+service, r.NodeNames())
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(ranked, func(name string) bool {
		node, _ := r.Node(name)
		return name != f.cfg.Self && f.backoffs[name].Active(now, node.StartedAt)
	})
}

func (f *Follower) isReportDue(now time.Time, service string, isUrgent bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !isUrgent && now.Sub(f.reportedAt[service]) < reportInterval {
		return false
	}
	f.reportedAt[service] = now
	return true
}

// tell sends a report to another node and takes in its reply.
func (f *Follower) tell(ctx context.Context, name string, r rollout.Report) {
	node, ok := f.cfg.Registry().Node(name)
	if !ok {
		return
	}
	sentAt := f.cfg.Now()
	reply, err := f.call(ctx, sentAt, node, r)
	now := f.cfg.Now()
	if err == nil {
		f.mu.Lock()
		delete(f.backoffs, name)
		f.mu.Unlock()
		f.cfg.Keeper.Learn(now, r.Order, fromReply(reply))
		return
	}
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	// A collector that is late once is asked again soon.
	x := f.backoffs[name].AfterFailure(sentAt, now, node.StartedAt, true)
	f.backoffs[name] = x
	f.mu.Unlock()
	f.nodes.Discard(sentAt, node.Address)
	f.cfg.Log.WithError(err).WithFields(logrus.Fields{"peer": name, "service": r.Order.Service, "shun_ms": x.Until().Sub(now).Milliseconds()}).Warn("rollout: collector does not answer")
}

func (f *Follower) call(ctx context.Context, now time.Time, node registry.Node, r rollout.Report) (*rolloutpb.Reply, error) {
	conn, err := f.nodes.Conn(now, node.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return rolloutpb.NewRolloutClient(conn).Tell(ctx, toReport(r))
}

// logStep logs each change of step.
func (f *Follower) logStep(now time.Time, p rollout.Progress, s rollout.Situation) {
	if p.Order.Service == "" {
		// The order was removed meanwhile.
		return
	}
	step := p.Step(now)
	f.mu.Lock()
	before := f.steps[p.Order.Service]
	f.steps[p.Order.Service] = step
	f.mu.Unlock()
	f.cfg.Meter.SetRollout(p.Order.Service, string(step), s.Sum.Requests, s.Sum.Sent)
	if step == before {
		return
	}
	fields := logrus.Fields{
		"service": p.Order.Service, "version": p.Order.Version, "step": string(step), "left_ms": p.Deadline().Sub(now).Milliseconds(),
		"requests": s.Sum.Requests, "sent": s.Sum.Sent,
	}
	if p.Bad != nil {
		fields["reason"], fields["route"], fields["bad"], fields["responses"] = string(p.Bad.Reason), p.Bad.Route, p.Bad.Bad, p.Bad.Responses
	}
	f.cfg.Log.WithFields(fields).Info("rollout: step changed")
}

// endSteps records the last step of the rollouts that have reached a final state, or whose orders were removed.
func (f *Follower) endSteps(running []rollout.Progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service := range f.steps {
		if slices.ContainsFunc(running, func(p rollout.Progress) bool { return p.Order.Service == service }) {
			continue
		}
		step := f.cfg.Keeper.Step(f.cfg.Now(), service)
		f.cfg.Meter.SetRollout(service, string(step), 0, 0)
		f.cfg.Log.WithFields(logrus.Fields{"service": service, "step": string(step)}).Info("rollout: ended")
		delete(f.steps, service)
		delete(f.reportedAt, service)
	}
}

// write stores a state unless an earlier attempt is under way or has just failed.
func (f *Follower) write(ctx context.Context, now time.Time, p rollout.Progress, w rollout.Write, s rollout.Situation) {
	service := p.Order.Service
	f.mu.Lock()
	state := f.writes[service]
	isSame := state.state == w.State && state.order.Is(p.Order)
	if state.isRunning || (isSame && now.Before(state.notBefore)) {
		f.mu.Unlock()
		return
	}
	if !isSame {
		state = writeState{order: p.Order, state: w.State}
	}
	state.isRunning = true
	f.writes[service] = state
	f.mu.Unlock()
	go func() {
		err := f.cfg.Write(ctx, p, w.State)
		result := "written"
		log := f.cfg.Log.WithFields(logrus.Fields{
			"service": service, "version": p.Order.Version, "state": string(w.State), "reason": string(w.Reason), "rank": s.Rank,
			"requests": s.Sum.Requests, "sent": s.Sum.Sent, "left_ms": p.Deadline().Sub(now).Milliseconds(),
		})
		if err != nil {
			result = "failed"
			log.WithError(err).Warn("rollout: state was not written")
		} else {
			log.Info("rollout: state written")
		}
		f.cfg.Meter.CountRolloutWrite(service, string(w.State), result)
		f.mu.Lock()
		defer f.mu.Unlock()
		next := writeState{order: p.Order, state: w.State, notBefore: f.cfg.Now().Add(writeRetry)}
		if err != nil {
			next.failures = state.failures + 1
			next.notBefore = f.cfg.Now().Add(min(maxWriteRetry, writeRetry<<min(state.failures, 8)))
		}
		f.writes[service] = next
	}()
}

// server serves the keeper to other nodes.
type server struct {
	rolloutpb.UnimplementedRolloutServer
	follower *Follower
}

// Register registers the follower's service for other nodes.
func Register(s *grpc.Server, f *Follower) { rolloutpb.RegisterRolloutServer(s, server{follower: f}) }

// Tell takes in another node's report. Only nodes of the fleet are heard, which bounds what is kept.
func (s server) Tell(_ context.Context, m *rolloutpb.Report) (*rolloutpb.Reply, error) {
	cfg := s.follower.cfg
	r := cfg.Registry()
	if _, ok := r.Node(m.Node); !ok {
		return toReply(rollout.Reply{}), nil
	}
	return toReply(cfg.Keeper.Receive(cfg.Now(), fromReport(m), r.NodeNames())), nil
}
