package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/shutdown"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// slowFleet does not answer: each call ends with its context.
type slowFleet struct {
	fakeFleet
	hasNoTarget bool
	// sent is what the owner says of an attempt that is cancelled.
	sent bool
	// claim is the status of each claim, "" if claims are not answered.
	claim   ledger.Status
	settled chan ledger.State
}

func (f *slowFleet) Candidates(pool string) []Candidate {
	if f.hasNoTarget {
		return nil
	}
	return f.fakeFleet.Candidates(pool)
}

func (f *slowFleet) Work(ctx context.Context, _ string, _ *peerpb.WorkRequest, _ func(*peerpb.WorkEvent) error) error {
	<-ctx.Done()
	return ctx.Err()
}

func (f *slowFleet) Cancel(context.Context, string, *peerpb.WorkRequest, time.Time) (bool, error) {
	return f.sent, nil
}

func (f *slowFleet) Claim(ctx context.Context, _ ledger.Row, _ time.Duration) ledger.Result {
	if f.claim == "" {
		<-ctx.Done()
		return ledger.Result{Status: ledger.Unavailable}
	}
	return ledger.Result{Status: f.claim}
}

func (f *slowFleet) Find(ctx context.Context, _ string, _ time.Duration) ledger.Result {
	<-ctx.Done()
	return ledger.Result{Status: ledger.Unavailable}
}

func (f *slowFleet) Settle(_ context.Context, _, _ string, s ledger.State, _ []byte, _ time.Duration) ledger.Result {
	f.settled <- s
	return ledger.Result{Status: ledger.Done}
}

// TestStopEndsWhatWaitsWithTrueOutcome covers requests that wait for something that does not come while their node stops.
func TestStopEndsWhatWaitsWithTrueOutcome(t *testing.T) {
	t.Parallel()
	const grace = time.Second
	tests := []struct {
		name   string
		fleet  slowFleet
		policy stage.RetryPolicy
		key    string
		// isLate is set if the request comes during the stop.
		isLate  bool
		want    outcome.Kind
		reason  outcome.Reason
		settled ledger.State
	}{
		{name: "waits for a target", fleet: slowFleet{hasNoTarget: true}, want: outcome.KindNotRun, reason: outcome.Stopping},
		{name: "waits for a permit", want: outcome.KindNotRun, reason: outcome.Stopping},
		{name: "waits for a permit, must not be sent again", policy: stage.RetryNever, key: "k", fleet: slowFleet{claim: ledger.Granted}, want: outcome.KindNotRun, reason: outcome.Stopping, settled: ledger.Void},
		{name: "at a target", fleet: slowFleet{sent: true}, want: outcome.KindFailed, reason: outcome.Stopping},
		{name: "at a target, must not be sent again", policy: stage.RetryNever, key: "k", fleet: slowFleet{sent: true, claim: ledger.Granted}, want: outcome.KindUnknown, reason: outcome.Lost, settled: ledger.Settled},
		{name: "waits for its claim", policy: stage.RetryNever, key: "k", want: outcome.KindNotRun, reason: outcome.Stopping, settled: ledger.Void},
		{name: "joins a running request", policy: stage.RetryNever, key: "k", fleet: slowFleet{claim: ledger.Running}, want: outcome.KindUnknown, reason: outcome.Lost},
		{name: "comes during the stop", isLate: true, want: outcome.KindNotRun, reason: outcome.Stopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := &tt.fleet
			f.retryPolicy, f.settled = tt.policy, make(chan ledger.State, 4)
			c := New(Config{
				Node: "n", Now: time.Now, Fleet: f, RandIntN: func(int) int { return 0 },
				OnRequestEnd: func(request.Request, outcome.Outcome, time.Duration) {}, OnAttempt: func(string, time.Duration, bool) {},
			})
			r := request.Request{Pipeline: "l", Team: "t", Key: tt.key, Body: []byte("{}"), Deadline: time.Now().Add(time.Minute)}
			var log *request.EventLog
			if !tt.isLate {
				_, log = c.Start(r)
			}
			p := shutdown.NewPlan(time.Now(), grace, 0)
			c.Drain(p)
			if tt.isLate {
				_, log = c.Start(r)
			}
			ticker := time.AfterFunc(time.Until(p.AnswerBy), func() { c.Review(time.Now()) })
			defer ticker.Stop()
			ctx, cancel := context.WithDeadline(t.Context(), p.KilledAt)
			defer cancel()
			got, err := log.Follow(ctx, 0, func(request.Event) error { return nil })
			if err != nil {
				t.Fatalf("got %v, want an outcome before the process is killed", err)
			}
			if got.Outcome != tt.want || got.Reason != tt.reason {
				t.Errorf("got %s %s %q, want %s %s", got.Outcome, got.Reason, got.Text, tt.want, tt.reason)
			}
			if got.Retryable != (tt.want != outcome.KindUnknown) {
				t.Errorf("got repeat %v for %s", got.Retryable, got.Outcome)
			}
			if tt.isLate && !time.Now().Before(p.AnswerBy) {
				t.Error("got a rejection when the node answers last, want it at once")
			}
			var settled ledger.State
			select {
			case settled = <-f.settled:
			default:
			}
			if settled != tt.settled {
				t.Errorf("got the claim settled as %q, want %q", settled, tt.settled)
			}
		})
	}
}

// TestLookUpThatIsEndedDoesNotSayNotRun covers a look-up of a key that a planned stop ends while the request with the key may run.
func TestLookUpThatIsEndedDoesNotSayNotRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c := New(Config{Node: "n", Now: time.Now, Fleet: &slowFleet{}})
	if got := c.Find(ctx, "t", "k", time.Minute).Kind(); got != outcome.KindUnknown {
		t.Errorf("got %s, want %s", got, outcome.KindUnknown)
	}
}
