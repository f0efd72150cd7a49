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

// callWork runs one attempt at another node, or here.
func (n *Node) callWork(ctx context.Context, name string, w *peerpb.WorkRequest, on func(*peerpb.WorkEvent) error) error {
	if name == n.Name() {
		return n.work(ctx, w, on)
	}
	m, ok := n.table.Load().Get(name)
	if !ok {
		return &coordinator.NotSentError{Cause: errors.New("node " + name + " is not known")}
	}
	sent, err := n.conns.Work(ctx, m.PeerAddress, w, func(e *peerpb.WorkEvent) error {
		n.notice(m.PeerAddress, e.Release)
		return on(e)
	})
	if !sent {
		if err == nil {
			err = context.Cause(ctx)
		}
		return &coordinator.NotSentError{Cause: err}
	}
	return err
}

// notice pulls the release of a peer that has a higher one.
func (n *Node) notice(address string, number uint64) {
	if number > n.releaseNumber() {
		n.raise(number)
		go n.pullLater(address)
	}
}

func attemptID(w *peerpb.WorkRequest) string {
	return request.AttemptID(w.Request, w.Stage, w.Attempt)
}

// callCancel gives an attempt up at the node that has it.
func (n *Node) callCancel(ctx context.Context, name string, w *peerpb.WorkRequest, began time.Time) (bool, error) {
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
	return answeredCancel(reply, n.cfg.Now().Sub(began))
}

// upMargin is more than two clocks differ by over the time of an attempt and a call.
const upMargin = 200 * time.Millisecond

// answeredCancel reads a reply that came so long after the attempt began: a process that started since
// knows nothing of what the one before it sent.
func answeredCancel(reply *peerpb.CancelReply, since time.Duration) (sent bool, err error) {
	up := time.Duration(reply.UpUs) * time.Microsecond
	if !reply.Sent && up < since+since/50+upMargin {
		return false, errors.New("the owner has started anew since the attempt began")
	}
	return reply.Sent, nil
}

// Cancel gives a peer's attempt up and says whether it had been sent.
func (n *Node) Cancel(_ context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return &peerpb.CancelReply{
		Sent: n.owner.Cancel(request.AttemptID(r.Request, r.Stage, r.Attempt)),
		UpUs: n.cfg.Now().Sub(n.born).Microseconds(),
	}, nil
}

// Work serves a peer's attempt.
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
	alive := time.NewTicker(peer.HeartbeatInterval)
	defer alive.Stop()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-alive.C:
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
	return n.work(stream.Context(), w, send)
}

// catchUp pulls the release that the entry decided by, before this side decides.
func (n *Node) catchUp(ctx context.Context, w *peerpb.WorkRequest) {
	m, ok := n.table.Load().Get(w.Entry)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	n.pull(ctx, m.PeerAddress)
}

// work admits and runs an attempt on an owned target, and reports it in events.
func (n *Node) work(ctx context.Context, w *peerpb.WorkRequest, send func(*peerpb.WorkEvent) error) error {
	n.working.Add(1)
	defer n.working.Add(-1)
	t, refused := n.task(w)
	if refused != nil {
		return send(refused)
	}
	end := n.owner.Work(ctx, t, func(k uint64, data []byte) error {
		return send(&peerpb.WorkEvent{Type: coordinator.EventPart, N: k, Data: data})
	})
	e := n.pack(w, end)
	e.Release = n.releaseNumber()
	e.Load = n.load(w.Target)
	return send(e)
}

// task resolves a request for work by the release in force here.
func (n *Node) task(w *peerpb.WorkRequest) (owner.Task, *peerpb.WorkEvent) {
	now := n.cfg.Now()
	c := n.catalog.Load()
	p, ok := c.targets[w.Target]
	if !ok || n.closed.Load() {
		return owner.Task{}, decline(outcome.NoTarget, "the target is not served here", lookAgain)
	}
	s, ok := c.release.Set.Stages[w.Stage]
	if !ok || s.Pool != p.pool.Name {
		return owner.Task{}, decline(outcome.NoTarget, "the stage is not in the release", lookAgain)
	}
	id := attemptID(w)
	deadline := now.Add(time.Duration(w.RemainingUs) * time.Microsecond)
	by := deadline.Add(-time.Duration(w.ReserveUs) * time.Microsecond)
	weight := 1
	if t, ok := c.release.Set.Teams[w.Team]; ok {
		weight = t.Weight
	}
	return owner.Task{
		Target:     w.Target,
		Address:    p.target.Address,
		Bounds:     p.bounds(),
		QueueLimit: p.pool.QueueLimit,
		Job:        admission.Job{ID: id, Team: w.Team, Weight: weight, Priority: team.Priority(w.Priority).Rank(), Deadline: by},
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

const lookAgain = 100 * time.Millisecond

func decline(reason outcome.Reason, text string, retry time.Duration) *peerpb.WorkEvent {
	return &peerpb.WorkEvent{Type: coordinator.EventRejected, Reason: string(reason), Data: []byte(text), RetryUs: retry.Microseconds()}
}

// pack writes the end of an attempt as an event.
func (n *Node) pack(w *peerpb.WorkRequest, end owner.AttemptResult) *peerpb.WorkEvent {
	switch end := end.(type) {
	case owner.Rejected:
		e := decline(end.Rejection.Reason, end.Rejection.Text, end.Rejection.RetryAfter)
		if first := n.routes.Load().first[w.Target]; end.Moved && first != n.Name() {
			e.Holder = first
		}
		return e
	case owner.Executed:
		return packRan(end)
	}
	panic("node: an attempt ended in neither way")
}

func packRan(end owner.Executed) *peerpb.WorkEvent {
	e := &peerpb.WorkEvent{Sent: true, CostUs: end.Elapsed.Microseconds()}
	switch r := end.Result.(type) {
	case backend.Complete:
		e.Type, e.Data, e.N = coordinator.EventDone, r.Output, r.Events
	case backend.Incomplete:
		e.Type, e.Reason, e.Data = coordinator.EventFailed, string(outcome.TargetError), []byte(r.Reason)
	}
	return e
}

func (n *Node) load(name string) *peerpb.Load {
	l, ok := n.owner.Load(name)
	if !ok {
		return nil
	}
	return &peerpb.Load{
		Target:  name,
		Running: int32(l.Running),
		Queued:  int32(l.Queued),
		Level:   int32(l.Level),
		WaitUs:  l.Wait.Microseconds(),
		Cold:    l.Cold,
	}
}

// Follow replays and follows the events of a request that was entered here.
func (n *Node) Follow(r *peerpb.FollowRequest, stream peerpb.Peer_FollowServer) error {
	return n.followHere(stream.Context(), r, stream.Send)
}

func (n *Node) liveMember(name string) (member.Member, bool) {
	m, ok := n.table.Load().Get(name)
	return m, ok && m.State != member.Gone
}
