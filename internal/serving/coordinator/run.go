package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
)

const (
	claimGrace    = 5 * time.Second
	settleTimeout = time.Second
)

// input is the input of a stage: the caller's body and the outputs of the stages before it.
type input struct {
	Input json.RawMessage            `json:"input"`
	Prior map[string]json.RawMessage `json:"prior,omitempty"`
}

// run runs a resolved request and returns its outcome.
func (c *Coordinator) run(ctx context.Context, p plan, log *request.EventLog) outcome.Outcome {
	if !p.usesLedger() {
		o, _ := c.runStages(ctx, p, log)
		return o
	}
	now := c.cfg.Now()
	row := ledger.Row{
		Key:         p.request.ScopedKey(),
		Digest:      p.request.Digest(),
		RequestID:   p.request.ID,
		ClaimedAtMs: now.UnixMilli(),
		ExpiresAtMs: p.request.Deadline.Add(claimGrace).UnixMilli(),
	}
	res := c.cfg.Fleet.Claim(ctx, row, p.request.Deadline.Sub(now))
	if isStopped(ctx, p) && res.Status != ledger.Granted && res.Status != ledger.Running {
		// The claim may still become durable.
		c.settle(p, stoppedOutcome(), false)
		return stoppedOutcome()
	}
	if res.Status == ledger.Running {
		c.stop.join(p.running)
		res = c.cfg.Fleet.Find(ctx, row.Key, p.request.Deadline.Sub(c.cfg.Now()))
	}
	if isStopped(ctx, p) && res.Status == ledger.Unavailable {
		return ledgerOutcome(ledger.Result{Status: ledger.Running})
	}
	if res.Status != ledger.Granted {
		return duplicateOutcome(res)
	}
	o, sent := c.runStages(ctx, p, log)
	c.settle(p, o, sent)
	return o
}

func stoppedOutcome() outcome.Outcome {
	return outcome.NotRun{Reason: outcome.Stopping, Text: stoppingText, RetryAfter: minRetryAfter}
}

// duplicateOutcome returns the outcome of a request whose idempotency key is claimed already.
func duplicateOutcome(res ledger.Result) outcome.Outcome {
	if res.Status == ledger.NotFound {
		return outcome.NotRun{Reason: outcome.Cancelled, Text: "the request that held the key was not run", RetryAfter: minRetryAfter}
	}
	return ledgerOutcome(res)
}

// settle records the outcome of a claimed request; the claim is voided if the request was certainly not sent.
func (c *Coordinator) settle(p plan, o outcome.Outcome, sent bool) {
	state := ledger.Settled
	if !sent {
		state = ledger.Void
	}
	body, err := json.Marshal(outcome.ToRecord(o))
	if err != nil {
		panic("coordinator: encode outcome: " + err.Error())
	}
	c.cfg.Fleet.Settle(context.Background(), p.request.ScopedKey(), p.request.ID, state, body, c.stop.timeLeft(c.cfg.Now(), settleTimeout))
}

// runStages runs the stages in order; sent reports whether the stage that may not be retried may have reached a
// target.
func (c *Coordinator) runStages(ctx context.Context, p plan, log *request.EventLog) (o outcome.Outcome, sent bool) {
	in := input{Input: p.request.Body, Prior: map[string]json.RawMessage{}}
	reached := false
	var last done
	for i, s := range p.stages {
		body, err := json.Marshal(in)
		if err != nil {
			return outcome.Failed{Reason: outcome.TargetError, Text: "stage input: " + err.Error()}, sent
		}
		run := stageRun{coordinator: c, plan: p, index: i, body: body, log: log}
		switch res := run.run(ctx).(type) {
		case done:
			last = res
			reached = true
			sent = sent || i == p.noRetryStage
			in.Prior[s.Name] = res.output
		case rejected:
			if res.reason == outcome.Overload {
				c.recordOverload(c.cfg.Now(), p, s.Pool, res.retry)
			}
			return rejectionOutcome(res, reached, sent), sent
		case failed:
			return outcome.Failed{Reason: res.reason, Text: "stage " + s.Name + ": " + res.text, Retryable: !sent, RetryAfter: retryAfter(sent)}, sent
		case unknown:
			return outcome.Unknown{Reason: outcome.Lost, Text: "stage " + s.Name + " was sent and its answer was lost"}, true
		}
	}
	return outcome.Answered{Body: last.output, EventCount: last.events}, sent
}

func retryAfter(sent bool) time.Duration {
	if sent {
		return 0
	}
	return minRetryAfter
}

// rejectionOutcome returns the outcome of a request with a rejected stage: NotRun only if no stage has reached a
// target.
func rejectionOutcome(r rejected, reached, sent bool) outcome.Outcome {
	if !reached && !r.reached {
		return outcome.NotRun{Reason: r.reason, Text: r.text, RetryAfter: r.retry}
	}
	if sent {
		return outcome.Failed{Reason: r.reason, Text: r.text}
	}
	return outcome.Failed{Reason: r.reason, Text: r.text, Retryable: true, RetryAfter: r.retry}
}
