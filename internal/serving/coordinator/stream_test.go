package coordinator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pipeline"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// streamingFleet runs a streamed stage; each attempt brings the next of some lists of events, the last one again and again.
type streamingFleet struct {
	fakeFleet
	attempts [][]*peerpb.WorkEvent
	resumed  []uint64
}

func (f *streamingFleet) Release() *release.Release {
	s := release.NewSet()
	s.Add(team.Team{Name: "t"}.WithDefaults())
	s.Add(stage.Stage{Name: "s", Pool: "p", Stream: true}.WithDefaults())
	s.Add(pipeline.Pipeline{Name: "l", Stages: []string{"s"}}.WithDefaults())
	return &release.Release{Set: s}
}

func (f *streamingFleet) Work(_ context.Context, _ string, w *peerpb.WorkRequest, handle func(*peerpb.WorkEvent) error) error {
	f.resumed = append(f.resumed, w.After)
	events := f.attempts[0]
	if len(f.attempts) > 1 {
		f.attempts = f.attempts[1:]
	}
	for _, e := range events {
		if err := handle(e); err != nil {
			return err
		}
	}
	return nil
}

// TestFailedAttemptAddsNothingToStream covers a stream that has begun and breaks off, and whose next target answers with an error:
// the stream goes on with its next event at another target, or the outcome tells that it is not complete.
func TestFailedAttemptAddsNothingToStream(t *testing.T) {
	event := func(n uint64, data string) *peerpb.WorkEvent {
		return &peerpb.WorkEvent{Type: EventPart, N: n, Data: []byte(data)}
	}
	broken := &peerpb.WorkEvent{Type: EventFailed, Sent: true, Reason: string(outcome.TargetError), Data: []byte("boom")}
	refused := &peerpb.WorkEvent{Type: EventRejected, Reason: string(outcome.NoTarget), Data: []byte("boom")}
	done := &peerpb.WorkEvent{Type: EventDone, Sent: true, N: 3, Data: []byte("{}")}
	begun := []*peerpb.WorkEvent{event(1, "a"), event(2, "b"), broken}
	tests := []struct {
		name     string
		attempts [][]*peerpb.WorkEvent
		want     string
		outcome  outcome.Kind
	}{
		{name: "error, then the next event", attempts: [][]*peerpb.WorkEvent{begun, {broken}, {event(3, "c"), done}}, want: "abc", outcome: outcome.KindAnswered},
		{name: "rejection, then the next event", attempts: [][]*peerpb.WorkEvent{begun, {refused}, {event(3, "c"), done}}, want: "abc", outcome: outcome.KindAnswered},
		{name: "errors", attempts: [][]*peerpb.WorkEvent{begun, {broken}}, want: "ab", outcome: outcome.KindFailed},
		{name: "rejections", attempts: [][]*peerpb.WorkEvent{begun, {refused}}, want: "ab", outcome: outcome.KindFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &streamingFleet{attempts: tt.attempts}
			c := New(Config{
				Node: "n", Now: time.Now, Fleet: f, RandIntN: func(int) int { return 0 },
				OnRequestEnd: func(request.Request, outcome.Outcome, time.Duration) {}, OnAttempt: func(string, time.Duration, bool) {},
			})
			_, log := c.Start(request.Request{Pipeline: "l", Team: "t", Body: []byte("{}"), Deadline: time.Now().Add(time.Second)})
			var got strings.Builder
			end, err := log.Follow(t.Context(), 0, func(e request.Event) error { got.Write(e.Data); return nil })
			if err != nil || got.String() != tt.want || end.Outcome != tt.outcome {
				t.Errorf("got %q and %s (%v), want %q and %s", got.String(), end.Outcome, err, tt.want, tt.outcome)
			}
			for _, after := range f.resumed[1:] {
				if after != 2 {
					t.Errorf("got an attempt after event %d, want 2", after)
				}
			}
		})
	}
}
