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
	maxRejections = 4
	maxRetries    = 2
	minPause      = 50 * time.Millisecond
	maxPause      = 300 * time.Millisecond
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

// stageResult is one of done, rejected, failed and unknown.
type stageResult interface{ isStageResult() }

type done struct {
	output json.RawMessage
	events uint64
}

// rejected is the result of a stage whose last attempt was rejected; reached reports whether an earlier attempt of the
// stage reached a target.
type rejected struct {
	reason  outcome.Reason
	text    string
	retry   time.Duration
	owner   string
	reached bool
}

// failed is the result of a retryable attempt that reached a target and got no complete response.
type failed struct {
	reason outcome.Reason
	text   string
}

// unknown is the result of an attempt that may not be retried and was sent, and whose response is not known.
type unknown struct{}

func (done) isStageResult()     {}
func (rejected) isStageResult() {}
func (failed) isStageResult()   {}
func (unknown) isStageResult()  {}

// stageRun runs one stage of one request.
type stageRun struct {
	coordinator *Coordinator
	plan        plan
	index       int
	body        []byte
	log         *request.EventLog
	attempts    uint32
	reached     bool
}

func (r *stageRun) stage() stage.Stage { return r.plan.stages[r.index] }

// run tries targets until one answers, the time is up, or no further attempt is allowed.
func (r *stageRun) run(ctx context.Context) stageResult {
	co := r.coordinator
	pool := r.stage().Pool
	bucket := co.retryBucket(pool)
	bucket.CountRequest()
	tried := map[string]bool{}
	rejections, retries := 0, 0
	// redirect is a target with the owner that its former owner named.
	var redirect *Candidate
	lastRejection := rejected{reason: outcome.NoTarget, text: "pool " + pool + " has no target that takes work", retry: minRetryAfter}
	for {
		if isStopped(ctx, r.plan) {
			return r.stopped()
		}
		c, ok := r.selectTarget(tried, redirect)
		if !ok || rejections >= maxRejections {
			if res, isFinal := r.waitForTarget(ctx, lastRejection); isFinal {
				return res
			}
			tried, rejections, redirect = map[string]bool{}, 0, nil
			continue
		}
		redirect = nil
		res := r.attempt(ctx, c)
		switch res := res.(type) {
		case rejected:
			rejections++
			lastRejection = r.moreSpecific(lastRejection, res)
			if res.owner != "" && res.owner != c.Owner {
				redirect = &Candidate{Target: c.Target, Owner: res.owner}
				continue
			}
			tried[c.Target] = true
			co.selector.BackOff(co.cfg.Now(), c.Target)
		case failed:
			r.reached = true
			tried[c.Target] = true
			co.selector.BackOff(co.cfg.Now(), c.Target)
			if isStopped(ctx, r.plan) {
				return failed{reason: outcome.Stopping, text: stoppingText}
			}
			retries++
			if retries > maxRetries || ctx.Err() != nil || !bucket.Take() {
				return res
			}
			co.stop.await(co.cfg.Now(), r.plan.running, r.index)
		default:
			return res
		}
	}
}

// moreSpecific returns the rejection that tells the caller more: an overload takes precedence over a missing owner.
func (r *stageRun) moreSpecific(a, b rejected) rejected {
	if a.reason == outcome.Overload && b.reason == outcome.NoTarget {
		return a
	}
	return b
}

// selectTarget follows a redirect, or selects among the targets that were not tried.
func (r *stageRun) selectTarget(tried map[string]bool, redirect *Candidate) (Candidate, bool) {
	if redirect != nil {
		return *redirect, true
	}
	co := r.coordinator
	return co.selector.Select(co.cfg.Now(), co.cfg.Fleet.Candidates(r.stage().Pool), tried, co.cfg.RandIntN)
}

// waitForTarget waits briefly while targets change their owners; a rejection for any other reason is final.
func (r *stageRun) waitForTarget(ctx context.Context, last rejected) (stageResult, bool) {
	last.reached = r.reached
	now := r.coordinator.cfg.Now()
	reserve := r.plan.pipeline.ReservedAfter(r.index, r.plan.totalTime)
	giveUpAt := r.plan.request.Deadline.Add(-reserve - r.plan.totalTime/4)
	wait := min(max(last.retry/2, minPause), maxPause)
	if last.reason != outcome.NoTarget || !now.Add(wait).Before(giveUpAt) {
		return last, true
	}
	r.coordinator.stop.await(now, r.plan.running, r.index)
	select {
	case <-ctx.Done():
		if isStopped(ctx, r.plan) {
			return r.stopped(), true
		}
		return last, true
	case <-time.After(wait):
		return nil, false
	}
}

// stopped returns the result of a stage that a planned stop has ended between two attempts.
func (r *stageRun) stopped() rejected {
	return rejected{reason: outcome.Stopping, text: stoppingText, retry: minRetryAfter, reached: r.reached}
}

// attempt runs the stage once on one owner.
func (r *stageRun) attempt(ctx context.Context, c Candidate) stageResult {
	co := r.coordinator
	r.attempts++
	now := co.cfg.Now()
	w := &peerpb.WorkRequest{
		Release:     co.cfg.Fleet.Release().Head.Number,
		Request:     r.plan.request.ID,
		Stage:       r.stage().Name,
		Attempt:     r.attempts,
		Target:      c.Target,
		Team:        r.plan.request.Team,
		Priority:    string(r.plan.priority),
		RemainingUs: r.plan.request.Deadline.Sub(now).Microseconds(),
		ReserveUs:   r.plan.pipeline.ReservedAfter(r.index, r.plan.totalTime).Microseconds(),
		After:       r.lastEvent(),
		Body:        r.body,
		Entry:       co.cfg.Node,
	}
	co.selector.AddAttempt(c.Target)
	defer co.selector.RemoveAttempt(c.Target)
	co.stop.send(now, r.plan.running, r.index)
	var res stageResult
	err := co.cfg.Fleet.Work(ctx, c.Owner, w, func(ev *peerpb.WorkEvent) error {
		co.updateLoad(c.Target, ev)
		res = r.handleEvent(ev, res)
		return nil
	})
	if res != nil {
		return res
	}
	return r.resolveUnanswered(ctx, c.Owner, w, now, err)
}

// lastEvent returns the number of events that a streamed last stage has delivered already.
func (r *stageRun) lastEvent() uint64 {
	if !r.isStreamed() {
		return 0
	}
	return r.log.Last()
}

func (r *stageRun) isStreamed() bool {
	return r.stage().Stream && r.index == len(r.plan.stages)-1
}

func (c *Coordinator) updateLoad(target string, ev *peerpb.WorkEvent) {
	l := ev.GetLoad()
	if l == nil {
		return
	}
	c.selector.UpdateLoad(target, LoadReport{
		Running:          int(l.Running),
		Queued:           int(l.Queued),
		ConcurrencyLimit: int(l.Level),
		Wait:             time.Duration(l.WaitUs) * time.Microsecond,
		ReceivedAt:       c.cfg.Now(),
	})
}

// handleEvent processes one work event and returns the result of the attempt, which the last event determines.
func (r *stageRun) handleEvent(ev *peerpb.WorkEvent, res stageResult) stageResult {
	cost := time.Duration(ev.CostUs) * time.Microsecond
	retryAfter := time.Duration(ev.RetryUs) * time.Microsecond
	switch ev.Type {
	case EventPart:
		if r.isStreamed() {
			r.log.Add(ev.N, ev.Data)
		}
	case EventDone:
		r.coordinator.cfg.OnAttempt(r.stage().Name, cost, true)
		return done{output: ev.Data, events: ev.N}
	case EventRejected:
		return rejected{reason: outcome.Reason(ev.Reason), text: string(ev.Data), retry: retryAfter, owner: ev.Holder}
	case EventFailed:
		r.coordinator.cfg.OnAttempt(r.stage().Name, cost, false)
		if r.stage().RetryPolicy == stage.RetryNever {
			return unknown{}
		}
		return failed{reason: outcome.Reason(ev.Reason), text: string(ev.Data)}
	}
	return res
}

// resolveUnanswered determines the result of an attempt whose owner stopped answering. If the call has reached the owner,
// the attempt counts as not sent only if the owner itself confirms it.
func (r *stageRun) resolveUnanswered(ctx context.Context, owner string, w *peerpb.WorkRequest, began time.Time, err error) stageResult {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return rejected{reason: outcome.NoTarget, text: notSent.Error(), retry: minRetryAfter}
	}
	reason := r.unansweredReason(ctx)
	if r.stage().RetryPolicy == stage.RetryAllowed && reason == outcome.Deadline {
		// The caller gets its response now; the owner is told in the background.
		go r.cancelAttempt(owner, w, began)
		return failed{reason: outcome.Deadline, text: "the deadline passed"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.coordinator.stop.timeLeft(r.coordinator.cfg.Now(), cancelTimeout))
	defer cancel()
	sent, cancelErr := r.coordinator.cfg.Fleet.Cancel(ctx, owner, w, began)
	switch {
	case cancelErr == nil && !sent:
		return rejected{reason: reason, text: "the attempt was given up before it was sent", retry: minRetryAfter}
	case r.stage().RetryPolicy == stage.RetryNever:
		return unknown{}
	default:
		return failed{reason: reason, text: "the target's owner did not answer"}
	}
}

func (r *stageRun) cancelAttempt(owner string, w *peerpb.WorkRequest, began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, _ = r.coordinator.cfg.Fleet.Cancel(ctx, owner, w, began)
}

// unansweredReason returns the reason for an attempt that ended without a response.
func (r *stageRun) unansweredReason(ctx context.Context) outcome.Reason {
	if isStopped(ctx, r.plan) {
		return outcome.Stopping
	}
	if !r.coordinator.cfg.Now().Before(r.plan.request.Deadline) {
		return outcome.Deadline
	}
	return outcome.NoTarget
}

// NotSentError reports that a call certainly did not reach the other node.
type NotSentError struct{ Cause error }

// Error returns the error text with its cause.
func (e *NotSentError) Error() string { return "node cannot be reached: " + e.Cause.Error() }
