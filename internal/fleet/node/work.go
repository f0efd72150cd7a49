package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/owner"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/admission"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/coordinator"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/backend"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// sendWork runs one attempt through another node, or through this one.
func (n *Node) sendWork(ctx context.Context, name string, w *peerpb.WorkRequest, onEvent func(*peerpb.WorkEvent) error) error {
	if name == n.Name() {
		return n.runWork(ctx, w, onEvent)
	}
	m, ok := n.table.Load().Get(name)
	if !ok {
		return &coordinator.NotSentError{Cause: errors.New("node " + name + " is not known")}
	}
	sent, err := n.conns.Work(ctx, m.PeerAddress, w, func(e *peerpb.WorkEvent) error {
		n.pullIfNewer(m.PeerAddress, e.Release)
		return onEvent(e)
	})
	if !sent {
		if err == nil {
			err = context.Cause(ctx)
		}
		return &coordinator.NotSentError{Cause: err}
	}
	return err
}

// pullIfNewer pulls a peer's release if it is newer than the active one.
func (n *Node) pullIfNewer(address string, number uint64) {
	if number > n.releaseNumber() {
		n.raiseHighestRelease(number)
		go n.pullInBackground(address)
	}
}

func attemptID(w *peerpb.WorkRequest) string {
	return request.AttemptID(w.Request, w.Stage, w.Attempt)
}

// sendCancel cancels an attempt at the node that it was sent to.
func (n *Node) sendCancel(ctx context.Context, name string, w *peerpb.WorkRequest, startedAt time.Time) (bool, error) {
	if name == n.Name() {
		return n.owner.Cancel(attemptID(w)), nil
	}
	m, ok := n.table.Load().Get(name)
	if !ok {
		return false, errors.New("node " + name + " is not known")
	}
	client, err := n.conns.Client(m.PeerAddress)
	if err != nil {
		return false, err
	}
	reply, err := client.Cancel(ctx, &peerpb.CancelRequest{Request: w.Request, Stage: w.Stage, Attempt: w.Attempt})
	if err != nil {
		return false, err
	}
	return interpretCancel(reply, n.cfg.Now().Sub(startedAt))
}

// clockMargin exceeds the difference of two clocks over the time of an attempt and a call.
const clockMargin = 200 * time.Millisecond

// interpretCancel reads a reply that arrived sinceStart after the attempt began. It returns an error if the attempt is
// reported as not sent and the owner has restarted since: a new process does not know what its predecessor sent.
func interpretCancel(reply *peerpb.CancelReply, sinceStart time.Duration) (sent bool, err error) {
	uptime := time.Duration(reply.UpUs) * time.Microsecond
	if !reply.Sent && uptime < sinceStart+sinceStart/50+clockMargin {
		return false, errors.New("the owner has restarted since the attempt began")
	}
	return reply.Sent, nil
}

// Cancel cancels a peer's attempt and returns whether it had been sent.
func (n *Node) Cancel(_ context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return &peerpb.CancelReply{
		Sent: n.owner.Cancel(request.AttemptID(r.Request, r.Stage, r.Attempt)),
		UpUs: n.cfg.Now().Sub(n.startedAt).Microseconds(),
	}, nil
}

// Work serves a peer's attempt and sends heartbeats on its stream.
func (n *Node) Work(w *peerpb.WorkRequest, stream peerpb.Peer_WorkServer) error {
	if w.Release > n.releaseNumber() {
		n.catchUp(stream.Context(), w)
	}
	var mu sync.Mutex
	send := func(e *peerpb.WorkEvent) error {
		mu.Lock()
		defer mu.Unlock()
		return stream.Send(e)
	}
	heartbeat := time.NewTicker(peer.HeartbeatInterval)
	defer heartbeat.Stop()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-heartbeat.C:
				mu.Lock()
				select {
				case <-ended:
				default:
					_ = stream.Send(&peerpb.WorkEvent{Type: coordinator.EventKeepAlive, Release: n.releaseNumber()})
				}
				mu.Unlock()
			}
		}
	}()
	return n.runWork(stream.Context(), w, send)
}

// catchUp pulls the release by which the coordinator routed the attempt, before this node decides on it.
func (n *Node) catchUp(ctx context.Context, w *peerpb.WorkRequest) {
	m, ok := n.table.Load().Get(w.Entry)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	n.pullRelease(ctx, m.PeerAddress)
}

// runWork admits and runs an attempt on an owned target and reports it in events.
func (n *Node) runWork(ctx context.Context, w *peerpb.WorkRequest, send func(*peerpb.WorkEvent) error) error {
	n.activeAttempts.Add(1)
	defer n.activeAttempts.Add(-1)
	t, rejected := n.newTask(w)
	if rejected != nil {
		return send(rejected)
	}
	result := n.owner.Work(ctx, t, func(k uint64, data []byte) error {
		return send(&peerpb.WorkEvent{Type: coordinator.EventPart, N: k, Data: data})
	})
	e := n.resultEvent(w, result)
	e.Release = n.releaseNumber()
	e.Load = n.loadToProto(w.Target)
	return send(e)
}

// newTask builds the task of a work request by the active release; the event is not nil if the request is rejected.
func (n *Node) newTask(w *peerpb.WorkRequest) (owner.Task, *peerpb.WorkEvent) {
	now := n.cfg.Now()
	c := n.catalog.Load()
	p, ok := c.targets[w.Target]
	if !ok || n.closed.Load() {
		return owner.Task{}, rejectedEvent(outcome.NoTarget, "the target is not served here", rejectionRetryDelay)
	}
	s, ok := c.release.Set.Stages[w.Stage]
	if !ok || s.Pool != p.pool.Name {
		return owner.Task{}, rejectedEvent(outcome.NoTarget, "the stage is not in the release", rejectionRetryDelay)
	}
	id := attemptID(w)
	deadline := now.Add(time.Duration(w.RemainingUs) * time.Microsecond)
	admitBy := deadline.Add(-time.Duration(w.ReserveUs) * time.Microsecond)
	weight := 1
	if t, ok := c.release.Set.Teams[w.Team]; ok {
		weight = t.Weight
	}
	return owner.Task{
		Target:     w.Target,
		Address:    p.target.Address,
		Bounds:     p.bounds(),
		QueueLimit: p.pool.QueueLimit,
		Job:        admission.Job{ID: id, Team: w.Team, Weight: weight, Priority: team.Priority(w.Priority).Rank(), Deadline: admitBy},
		Deadline:   deadline,
		Timeout:    s.Timeout.Duration(),
		Attempt: backend.Attempt{
			ID:          id,
			Request:     w.Request,
			Stage:       w.Stage,
			Priority:    w.Priority,
			IdleTimeout: s.IdleTimeout.Duration(),
			ResumeAfter: w.After,
			Stream:      s.Stream,
			Body:        w.Body,
		},
	}, nil
}

const rejectionRetryDelay = 100 * time.Millisecond

func rejectedEvent(reason outcome.Reason, text string, retry time.Duration) *peerpb.WorkEvent {
	return &peerpb.WorkEvent{Type: coordinator.EventRejected, Reason: string(reason), Data: []byte(text), RetryUs: retry.Microseconds()}
}

// resultEvent returns the event for the result of an attempt.
func (n *Node) resultEvent(w *peerpb.WorkRequest, result owner.AttemptResult) *peerpb.WorkEvent {
	switch result := result.(type) {
	case owner.Rejected:
		e := rejectedEvent(result.Rejection.Reason, result.Rejection.Text, result.Rejection.RetryAfter)
		if preferred := n.routes.Load().preferredOwner[w.Target]; result.Moved && preferred != n.Name() {
			e.Holder = preferred
		}
		return e
	case owner.Executed:
		return executedEvent(result)
	}
	panic("node: attempt result is neither Rejected nor Executed")
}

func executedEvent(result owner.Executed) *peerpb.WorkEvent {
	e := &peerpb.WorkEvent{Sent: true, CostUs: result.Elapsed.Microseconds()}
	switch r := result.Result.(type) {
	case backend.Complete:
		e.Type, e.Data, e.N = coordinator.EventDone, r.Output, r.Events
	case backend.Incomplete:
		e.Type, e.Reason, e.Data = coordinator.EventFailed, string(outcome.TargetError), []byte(r.Reason)
	}
	return e
}

func (n *Node) loadToProto(name string) *peerpb.Load {
	l, ok := n.owner.Load(name)
	if !ok {
		return nil
	}
	return &peerpb.Load{
		Target:  name,
		Running: int32(l.Running),
		Queued:  int32(l.Queued),
		Level:   int32(l.ConcurrencyLimit),
		WaitUs:  l.Wait.Microseconds(),
		Cold:    l.Cold,
	}
}

// Follow replays and follows the events of a request that this node coordinates.
func (n *Node) Follow(r *peerpb.FollowRequest, stream peerpb.Peer_FollowServer) error {
	return n.followLocal(stream.Context(), r, stream.Send)
}

func (n *Node) memberNotGone(name string) (member.Member, bool) {
	m, ok := n.table.Load().Get(name)
	return m, ok && m.State != member.Gone
}
