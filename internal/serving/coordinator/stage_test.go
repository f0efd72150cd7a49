package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pipeline"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/ledger"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// fakeFleet answers each attempt with the function work.
type fakeFleet struct {
	retryPolicy stage.RetryPolicy
	work        func(node, target string) (*peerpb.WorkEvent, error)
	cancelErr   error
	attempts    int
}

func (f *fakeFleet) Release() *release.Release {
	s := release.NewSet()
	s.Add(team.Team{Name: "t"}.WithDefaults())
	s.Add(stage.Stage{Name: "s", Pool: "p", RetryPolicy: f.retryPolicy}.WithDefaults())
	s.Add(pipeline.Pipeline{Name: "l", Stages: []string{"s"}}.WithDefaults())
	return &release.Release{Set: s}
}

func (f *fakeFleet) Unavailable(time.Time) (outcome.NotRun, bool) { return outcome.NotRun{}, false }

func (f *fakeFleet) Candidates(string) []Candidate {
	return []Candidate{{"x", "former"}, {"y", "former"}, {"z", "former"}}
}

func (f *fakeFleet) Work(_ context.Context, node string, w *peerpb.WorkRequest, handle func(*peerpb.WorkEvent) error) error {
	f.attempts++
	event, err := f.work(node, w.Target)
	if event != nil {
		return handle(event)
	}
	return err
}

func (f *fakeFleet) Cancel(context.Context, string, *peerpb.WorkRequest, time.Time) (bool, error) {
	return false, f.cancelErr
}

func (f *fakeFleet) Claim(context.Context, ledger.Row, time.Duration) ledger.Result {
	return ledger.Result{}
}

func (f *fakeFleet) Settle(context.Context, string, string, ledger.State, []byte, time.Duration) ledger.Result {
	return ledger.Result{}
}

func (f *fakeFleet) Find(context.Context, string, time.Duration) ledger.Result {
	return ledger.Result{}
}

func runRequest(t *testing.T, f *fakeFleet) outcome.Record {
	t.Helper()
	count := 0
	c := New(Config{
		Node:         "n",
		Now:          time.Now,
		Fleet:        f,
		RandIntN:     func(n int) int { count++; return count % n },
		OnRequestEnd: func(request.Request, outcome.Outcome, time.Duration) {},
		OnAttempt:    func(string, time.Duration, bool) {},
	})
	_, log := c.Start(request.Request{Pipeline: "l", Team: "t", Body: []byte("{}")})
	rec, err := log.Follow(t.Context(), 0, func(request.Event) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

func TestRedirectKeepsTarget(t *testing.T) {
	redirected := ""
	f := &fakeFleet{work: func(node, target string) (*peerpb.WorkEvent, error) {
		if redirected == "" {
			redirected = target
			return &peerpb.WorkEvent{Type: EventRejected, Reason: string(outcome.NoTarget), Holder: "holder"}, nil
		}
		if node != "holder" || target != redirected {
			t.Errorf("got attempt for target %s at %s, want %s at holder", target, node, redirected)
		}
		return &peerpb.WorkEvent{Type: EventDone, Data: []byte("{}")}, nil
	}}
	if got := runRequest(t, f); got.Outcome != outcome.KindAnswered || f.attempts != 2 {
		t.Errorf("got %s after %d attempts, want an answer after 2", got.Outcome, f.attempts)
	}
}

func TestUnansweredAttemptIsNotRetried(t *testing.T) {
	f := &fakeFleet{
		retryPolicy: stage.RetryNever,
		work:        func(string, string) (*peerpb.WorkEvent, error) { return nil, errors.New("connection lost") },
		cancelErr:   errors.New("the owner has restarted"),
	}
	if got := runRequest(t, f); got.Outcome != outcome.KindUnknown || f.attempts != 1 {
		t.Errorf("got %s after %d attempts, want unknown after 1", got.Outcome, f.attempts)
	}
}
