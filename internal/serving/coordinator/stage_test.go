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

// fakeFleet answers each piece of work by a function.
type fakeFleet struct {
	repeat stage.RetryPolicy
	work   func(node, target string) (*peerpb.WorkEvent, error)
	cancel error
	works  int
}

func (f *fakeFleet) Release() *release.Release {
	s := release.NewSet()
	s.Add(team.Team{Name: "t"}.WithDefaults())
	s.Add(stage.Stage{Name: "s", Pool: "p", RetryPolicy: f.repeat}.WithDefaults())
	s.Add(pipeline.Pipeline{Name: "l", Stages: []string{"s"}}.WithDefaults())
	return &release.Release{Set: s}
}

func (f *fakeFleet) Unavailable(time.Time) (outcome.NotRun, bool) { return outcome.NotRun{}, false }

func (f *fakeFleet) Candidates(string) []Candidate {
	return []Candidate{{"x", "former"}, {"y", "former"}, {"z", "former"}}
}

func (f *fakeFleet) Work(_ context.Context, node string, w *peerpb.WorkRequest, on func(*peerpb.WorkEvent) error) error {
	f.works++
	e, err := f.work(node, w.Target)
	if e != nil {
		return on(e)
	}
	return err
}

func (f *fakeFleet) Cancel(context.Context, string, *peerpb.WorkRequest, time.Time) (bool, error) {
	return false, f.cancel
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

func run(t *testing.T, f *fakeFleet) outcome.Record {
	t.Helper()
	turn := 0
	e := New(Config{
		Node:         "n",
		Now:          time.Now,
		Fleet:        f,
		RandIntN:     func(n int) int { turn++; return turn % n },
		OnRequestEnd: func(request.Request, outcome.Outcome, time.Duration) {},
		OnAttempt:    func(string, time.Duration, bool) {},
	})
	_, log := e.Start(request.Request{Pipeline: "l", Team: "t", Body: []byte("{}")})
	r, err := log.Follow(t.Context(), 0, func(request.Event) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRedirectKeepsItsTarget(t *testing.T) {
	redirected := ""
	f := &fakeFleet{work: func(node, target string) (*peerpb.WorkEvent, error) {
		if redirected == "" {
			redirected = target
			return &peerpb.WorkEvent{Type: EventRejected, Reason: string(outcome.NoTarget), Holder: "holder"}, nil
		}
		if node != "holder" || target != redirected {
			t.Errorf("got target %s asked for at %s, want %s at holder", target, node, redirected)
		}
		return &peerpb.WorkEvent{Type: EventDone, Data: []byte("{}")}, nil
	}}
	if got := run(t, f); got.Outcome != outcome.KindAnswered || f.works != 2 {
		t.Errorf("got %s after %d attempts, want an answer after 2", got.Outcome, f.works)
	}
}

func TestUnclearCallIsNeverSentAgain(t *testing.T) {
	f := &fakeFleet{
		repeat: stage.RetryNever,
		work:   func(string, string) (*peerpb.WorkEvent, error) { return nil, errors.New("connection lost") },
		cancel: errors.New("the owner has started anew"),
	}
	if got := run(t, f); got.Outcome != outcome.KindUnknown || f.works != 1 {
		t.Errorf("got %s after %d attempts, want unknown after 1", got.Outcome, f.works)
	}
}
