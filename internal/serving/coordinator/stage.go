package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const (
	maxLooks      = 4
	maxRetries    = 2
	lookPause     = 50 * time.Millisecond
	maxLookPause  = 300 * time.Millisecond
	cancelTimeout = 500 * time.Millisecond
)

// The types of a work event.
const (
	EventKeepAlive = "alive"
	EventPart      = "part"
	EventDone      = "done"
	EventRejected  = "declined"
	EventFailed    = "broken"
)

// stageEnd is one of done, declined, broken and lost.
type stageEnd interface{ stageEnd() }

type done struct {
	output json.RawMessage
	events uint64
}

// declined says that the last look was refused; reached tells whether an earlier try of the stage got to a target.
type declined struct {
	reason  outcome.Reason
	text    string
	retry   time.Duration
	holder  string
	reached bool
}

// broken says that a repeatable attempt reached a target and brought no whole answer.
type broken struct {
	reason outcome.Reason
	text   string
}

// lost says that an attempt that may not be repeated was sent and its answer is not known.
type lost struct{}

func (done) stageEnd()     {}
func (declined) stageEnd() {}
func (broken) stageEnd()   {}
func (lost) stageEnd()     {}

// stageRun is one stage of one request.
type stageRun struct {
	entry    *Coordinator
	plan     plan
	index    int
	body     []byte
	log      *request.EventLog
	attempts uint32
	reached  bool
}

func (r *stageRun) stage() stage.Stage { return r.plan.stages[r.index] }

// do looks for a target until one answers, the time is up, or trying on is no use.
func (r *stageRun) do(ctx context.Context) stageEnd {
	e := r.entry
	pool := r.stage().Pool
	retries := e.budget(pool)
	retries.CountRequest()
	tried := map[string]bool{}
	looks, repeats := 0, 0
	// moved is a target with the holder that its former owner named.
	var moved *Candidate
	last := declined{reason: outcome.NoTarget, text: "pool " + pool + " has no target that takes work", retry: minRetry}
	for {
		c, ok := r.pick(tried, moved)
		if !ok || looks >= maxLooks {
			if end, over := r.pause(ctx, last); over {
				return end
			}
			tried, looks, moved = map[string]bool{}, 0, nil
			continue
		}
		moved = nil
		end := r.attempt(ctx, c)
		switch end := end.(type) {
		case declined:
			looks++
			last = r.worse(last, end)
			if end.holder != "" && end.holder != c.Owner {
				moved = &Candidate{Target: c.Target, Owner: end.holder}
				continue
			}
			tried[c.Target] = true
			e.choice.Avoid(e.cfg.Now(), c.Target)
		case broken:
			r.reached = true
			tried[c.Target] = true
			e.choice.Avoid(e.cfg.Now(), c.Target)
			repeats++
			if repeats > maxRetries || ctx.Err() != nil || !retries.Take() {
				return end
			}
		default:
			return end
		}
	}
}

// worse keeps the refusal that tells the caller more: an overload is kept over a missing owner.
func (r *stageRun) worse(a, b declined) declined {
	if a.reason == outcome.Overload && b.reason == outcome.NoTarget {
		return a
	}
	return b
}

// pick follows a redirect, or chooses among the targets that were not tried.
func (r *stageRun) pick(tried map[string]bool, moved *Candidate) (Candidate, bool) {
	if moved != nil {
		return *moved, true
	}
	e := r.entry
	return e.choice.Select(e.cfg.Now(), e.cfg.Fleet.Candidates(r.stage().Pool), tried, e.cfg.RandIntN)
}

// pause waits a moment where targets change hands; a refusal for any other reason is final.
func (r *stageRun) pause(ctx context.Context, last declined) (stageEnd, bool) {
	last.reached = r.reached
	now := r.entry.cfg.Now()
	reserve := r.plan.pipeline.ReservedAfter(r.index, r.plan.whole)
	patience := r.plan.request.Deadline.Add(-reserve - r.plan.whole/4)
	wait := min(max(last.retry/2, lookPause), maxLookPause)
	if last.reason != outcome.NoTarget || !now.Add(wait).Before(patience) {
		return last, true
	}
	select {
	case <-ctx.Done():
		return last, true
	case <-time.After(wait):
		return nil, false
	}
}

// attempt asks one owner to run the stage once.
func (r *stageRun) attempt(ctx context.Context, c Candidate) stageEnd {
	e := r.entry
	r.attempts++
	now := e.cfg.Now()
	w := &peerpb.WorkRequest{
		Release:     e.cfg.Fleet.Release().Head.Number,
		Request:     r.plan.request.ID,
		Stage:       r.stage().Name,
		Attempt:     r.attempts,
		Target:      c.Target,
		Team:        r.plan.request.Team,
		Priority:    string(r.plan.priority),
		RemainingUs: r.plan.request.Deadline.Sub(now).Microseconds(),
		ReserveUs:   r.plan.pipeline.ReservedAfter(r.index, r.plan.whole).Microseconds(),
		After:       r.after(),
		Body:        r.body,
		Entry:       e.cfg.Node,
	}
	e.choice.AddAttempt(c.Target)
	defer e.choice.RemoveAttempt(c.Target)
	var end stageEnd
	err := e.cfg.Fleet.Work(ctx, c.Owner, w, func(ev *peerpb.WorkEvent) error {
		e.learn(c.Target, ev)
		end = r.take(ev, end)
		return nil
	})
	if end != nil {
		return end
	}
	return r.unclear(c.Owner, w, now, err)
}

// after is how many events of a streamed last stage are there already.
func (r *stageRun) after() uint64 {
	if !r.streams() {
		return 0
	}
	return r.log.Last()
}

func (r *stageRun) streams() bool {
	return r.stage().Stream && r.index == len(r.plan.stages)-1
}

func (e *Coordinator) learn(target string, ev *peerpb.WorkEvent) {
	l := ev.GetLoad()
	if l == nil {
		return
	}
	e.choice.UpdateLoad(target, LoadReport{
		Running:    int(l.Running),
		Queued:     int(l.Queued),
		Level:      int(l.Level),
		Wait:       time.Duration(l.WaitUs) * time.Microsecond,
		ReceivedAt: e.cfg.Now(),
	})
}

// take reads one work event; the last one ends the stage.
func (r *stageRun) take(ev *peerpb.WorkEvent, end stageEnd) stageEnd {
	cost := time.Duration(ev.CostUs) * time.Microsecond
	retry := time.Duration(ev.RetryUs) * time.Microsecond
	switch ev.Type {
	case EventPart:
		if r.streams() {
			r.log.Add(ev.N, ev.Data)
		}
	case EventDone:
		r.entry.cfg.OnAttempt(r.stage().Name, cost, true)
		return done{output: ev.Data, events: ev.N}
	case EventRejected:
		return declined{reason: outcome.Reason(ev.Reason), text: string(ev.Data), retry: retry, holder: ev.Holder}
	case EventFailed:
		r.entry.cfg.OnAttempt(r.stage().Name, cost, false)
		if r.stage().RetryPolicy == stage.RetryNever {
			return lost{}
		}
		return broken{reason: outcome.Reason(ev.Reason), text: string(ev.Data)}
	}
	return end
}

// unclear settles an attempt whose owner went silent: only the owner's own word makes it not sent.
func (r *stageRun) unclear(owner string, w *peerpb.WorkRequest, began time.Time, err error) stageEnd {
	var never *NotSentError
	if errors.As(err, &never) {
		return declined{reason: outcome.NoTarget, text: never.Error(), retry: minRetry}
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if r.stage().RetryPolicy == stage.RetryAllowed && r.timeUp() == outcome.Deadline {
		// The caller gets its answer now; the owner is told in its own time.
		go r.cancelLater(owner, w, began)
		return broken{reason: outcome.Deadline, text: "the deadline passed"}
	}
	sent, cancelErr := r.entry.cfg.Fleet.Cancel(ctx, owner, w, began)
	switch {
	case cancelErr == nil && !sent:
		return declined{reason: r.timeUp(), text: "the attempt was given up before it was sent", retry: minRetry}
	case r.stage().RetryPolicy == stage.RetryNever:
		return lost{}
	default:
		return broken{reason: r.timeUp(), text: "the target's owner did not answer"}
	}
}

func (r *stageRun) cancelLater(owner string, w *peerpb.WorkRequest, began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, _ = r.entry.cfg.Fleet.Cancel(ctx, owner, w, began)
}

// timeUp is the reason for an attempt that ended without a word.
func (r *stageRun) timeUp() outcome.Reason {
	if !r.entry.cfg.Now().Before(r.plan.request.Deadline) {
		return outcome.Deadline
	}
	return outcome.NoTarget
}

// NotSentError is the error of a call that surely did not get to the other node.
type NotSentError struct{ Cause error }

// Error names the cause.
func (n *NotSentError) Error() string { return "node cannot be reached: " + n.Cause.Error() }
