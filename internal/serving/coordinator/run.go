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
	claimGrace = 5 * time.Second
	settleWait = time.Second
)

// input is what a stage is given: the caller's body and the answers of the stages before it.
type input struct {
	Input json.RawMessage            `json:"input"`
	Prior map[string]json.RawMessage `json:"prior,omitempty"`
}

// run takes a planned request to its outcome.
func (e *Coordinator) run(ctx context.Context, p plan, log *request.EventLog) outcome.Outcome {
	if !p.ledgered() {
		o, _ := e.stages(ctx, p, log)
		return o
	}
	now := e.cfg.Now()
	row := ledger.Row{
		Key:         p.request.ScopedKey(),
		BodyHash:    p.request.Digest(),
		RequestID:   p.request.ID,
		ClaimedAtMs: now.UnixMilli(),
		ExpiresAtMs: p.request.Deadline.Add(claimGrace).UnixMilli(),
	}
	a := e.cfg.Fleet.Claim(ctx, row, p.request.Deadline.Sub(now))
	if a.Status == ledger.Running {
		a = e.cfg.Fleet.Find(ctx, row.Key, p.request.Deadline.Sub(e.cfg.Now()))
	}
	if a.Status != ledger.Granted {
		return repeated(a)
	}
	o, sent := e.stages(ctx, p, log)
	e.settle(p, o, sent)
	return o
}

// repeated is the outcome of a request whose key is taken.
func repeated(a ledger.Result) outcome.Outcome {
	if a.Status == ledger.NotFound {
		return outcome.NotRun{Reason: outcome.Cancelled, Text: "the request that held the key was not run", RetryAfter: minRetry}
	}
	return found(a)
}

// settle records how a claimed request ended; a claim that surely was not sent is made void.
func (e *Coordinator) settle(p plan, o outcome.Outcome, sent bool) {
	state := ledger.Settled
	if !sent {
		state = ledger.Void
	}
	body, err := json.Marshal(outcome.ToRecord(o))
	if err != nil {
		panic("entry: outcome cannot be written: " + err.Error())
	}
	e.cfg.Fleet.Settle(context.Background(), p.request.ScopedKey(), p.request.ID, state, body, settleWait)
}

// stages runs the stages in order; sent tells whether the one that may not be repeated may have reached a target.
func (e *Coordinator) stages(ctx context.Context, p plan, log *request.EventLog) (o outcome.Outcome, sent bool) {
	in := input{Input: p.request.Body, Prior: map[string]json.RawMessage{}}
	reached := false
	var last done
	for i, s := range p.stages {
		body, err := json.Marshal(in)
		if err != nil {
			return outcome.Failed{Reason: outcome.TargetError, Text: "stage input: " + err.Error()}, sent
		}
		run := stageRun{entry: e, plan: p, index: i, body: body, log: log}
		switch end := run.do(ctx).(type) {
		case done:
			last = end
			reached = true
			sent = sent || i == p.never
			in.Prior[s.Name] = end.output
		case declined:
			if end.reason == outcome.Overload {
				e.overloaded(e.cfg.Now(), p, s.Pool, end.retry)
			}
			return refusal(end, reached, sent), sent
		case broken:
			return outcome.Failed{Reason: end.reason, Text: "stage " + s.Name + ": " + end.text, Retryable: !sent, RetryAfter: repeatAfter(sent)}, sent
		case lost:
			return outcome.Unknown{Reason: outcome.Lost, Text: "stage " + s.Name + " was sent and its answer was lost"}, true
		}
	}
	return outcome.Answered{Body: last.output, EventCount: last.events}, sent
}

func repeatAfter(sent bool) time.Duration {
	if sent {
		return 0
	}
	return minRetry
}

// refusal is NotRun only while no stage has reached a target.
func refusal(d declined, reached, sent bool) outcome.Outcome {
	if !reached && !d.reached {
		return outcome.NotRun{Reason: d.reason, Text: d.text, RetryAfter: d.retry}
	}
	if sent {
		return outcome.Failed{Reason: d.reason, Text: d.text}
	}
	return outcome.Failed{Reason: d.reason, Text: d.text, Retryable: true, RetryAfter: d.retry}
}
