package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// fakeCaller stands in for stage targets; a call takes its terms' time unless a function says otherwise.
type fakeCaller struct {
	mu    sync.Mutex
	calls []madeCall
	freed []string
	space func() (batch.Space, error)
	// others is the number of calls of other desks that the target tells of.
	others int
	run    func(n int, t registry.Target, pieces []batch.Piece) ([]batch.Result, error)
	n      int
}

type madeCall struct {
	target string
	pieces []batch.Piece
	at     time.Time
}

func (f *fakeCaller) RunBatch(_ context.Context, now time.Time, t registry.Target, terms route.BatchProfile, pieces []batch.Piece) (batch.Reply, error) {
	f.mu.Lock()
	f.calls = append(f.calls, madeCall{target: t.ID, pieces: append([]batch.Piece(nil), pieces...), at: now})
	n := len(f.calls)
	f.mu.Unlock()
	if f.run != nil {
		if out, err := f.run(n, t, pieces); out != nil || err != nil {
			return batch.Reply{Results: out, Running: f.others}, err
		}
	}
	time.Sleep(terms.CallDuration(len(pieces)))
	return batch.Reply{Results: f.made(t, pieces), Running: f.others}, nil
}

func (f *fakeCaller) made(t registry.Target, pieces []batch.Piece) []batch.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []batch.Result
	for range pieces {
		f.n++
		out = append(out, batch.Result{Handle: fmt.Sprintf("%s/%d", t.Address, f.n), Datacentre: t.Datacentre})
	}
	return out
}

// AvailableSpace says that the whole room is free, or what the stand-in is told to.
func (f *fakeCaller) AvailableSpace(context.Context, registry.Target) (batch.Space, error) {
	if f.space != nil {
		return f.space()
	}
	return batch.Space{Min: testTerms.ResultSpace, Max: testTerms.ResultSpace}, nil
}

func (f *fakeCaller) Free(_ context.Context, _ string, handles []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, handles...)
	return nil
}

func (f *fakeCaller) seen() []madeCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]madeCall(nil), f.calls...)
}

var testTerms = route.BatchProfile{MaxSize: 4, CallTime: 50 * time.Millisecond, PieceTime: 2 * time.Millisecond, ResultSpace: 1000, ResultTTL: time.Second}

func newTestDesk(f *fakeCaller, targets ...registry.Target) *Dispatcher {
	table := route.NewTable(route.Config{Version: 1, Services: []route.Service{{Name: "s", Batch: testTerms}}})
	r := registry.New().WithTargets(targets, time.Time{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	ready := make(chan struct{})
	close(ready)
	return New(Config{
		Targets: f, Table: func() *route.Table { return table }, Ready: ready, Roster: func() *registry.Registry { return r }, Log: log, Meter: noMeter{}, Now: time.Now,
		AllowRetry: func(time.Time, string) bool { return true }, RecordFirstSend: func(time.Time, string) {},
	})
}

type noMeter struct{}

func (noMeter) RecordStageCall(string, string, int, int, time.Duration) {}
func (noMeter) RecordRejectedGroup(string, string)                      {}
func (noMeter) SetQueuedPieces(string, int)                             {}

func target(id, datacentre string) registry.Target {
	return registry.Target{ID: id, Service: "s", Address: id + ":1", Datacentre: datacentre, State: registry.Ready}
}

func testGroup(request string, count int, bytes int64) batch.Group {
	now := time.Now()
	return batch.Group{Service: "s", Request: request, Count: count, PieceKey: "k", ResultBytes: bytes, StartByObjective: now.Add(time.Second), StartByDeadline: now.Add(2 * time.Second)}
}

var noNotice = Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() {}}

func TestFillsACallWhileTheOneBeforeRuns(t *testing.T) {
	f := &fakeCaller{}
	d := newTestDesk(f, target("t1", "a"))
	var all sync.WaitGroup
	for i := range 9 {
		all.Add(1)
		go func() {
			defer all.Done()
			if _, err := d.Produce(context.Background(), testGroup(fmt.Sprint(i), 1, 1), noNotice); err != nil {
				t.Errorf("group %d: %v", i, err)
			}
		}()
	}
	all.Wait()
	if got, want := len(f.seen()), 4; got > want {
		t.Errorf("9 pieces took %d calls of up to 4, want at most %d", got, want)
	}
}

// TestTellsWhenInputsAreFetched replays a chain whose results fill the room of their makers: they may go as soon as
// the next stage has fetched them, not when its call ends.
func TestTellsWhenInputsAreFetched(t *testing.T) {
	block := make(chan struct{})
	f := &fakeCaller{run: func(int, registry.Target, []batch.Piece) ([]batch.Result, error) { <-block; return nil, nil }}
	d := newTestDesk(f, target("t1", "a"))
	begun := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = d.Produce(context.Background(), testGroup("r", 2, 1), Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() { close(begun) }})
	}()
	select {
	case <-begun:
	case <-done:
		t.Error("group was done before its inputs were said to be fetched")
	case <-time.After(2 * time.Second):
		t.Error("inputs were not said to be fetched while the call ran")
	}
	close(block)
	<-done
}

func TestMakesNoMoreThanFitsIntoTheRoom(t *testing.T) {
	f := &fakeCaller{}
	d := newTestDesk(f, target("t1", "a"))
	var handles []string
	out, err := d.Produce(context.Background(), testGroup("r1", 2, 400), noNotice)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out {
		handles = append(handles, r.Handle)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = d.Produce(context.Background(), testGroup("r2", 1, 400), noNotice)
	}()
	time.Sleep(100 * time.Millisecond)
	if got, want := len(f.seen()), 1; got != want {
		t.Errorf("%d calls while the room is full, want %d", got, want)
	}
	d.Free(handles)
	select {
	case <-done:
	case <-time.After(time.Second):
		t.Error("no call after the room was freed")
	}
}

func TestSendsPiecesOfAFailedTargetElsewhere(t *testing.T) {
	f := &fakeCaller{run: func(_ int, x registry.Target, _ []batch.Piece) ([]batch.Result, error) {
		if x.ID == "t1" {
			return nil, errors.New("connection refused")
		}
		return nil, nil
	}}
	d := newTestDesk(f, target("t1", "a"), target("t2", "a"))
	for i := range 3 {
		out, err := d.Produce(context.Background(), testGroup(fmt.Sprint(i), 2, 1), noNotice)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range out {
			if r.Reason != batch.Completed {
				t.Errorf("piece is %q, want it made by the other target", r.Reason)
			}
		}
	}
}

// TestAsksAnotherTargetWhenACallIsStuck replays a target that falls silent in the middle of a call.
func TestAsksAnotherTargetWhenACallIsStuck(t *testing.T) {
	stuck := make(chan struct{})
	f := &fakeCaller{run: func(n int, _ registry.Target, _ []batch.Piece) ([]batch.Result, error) {
		if n == 1 {
			<-stuck
			return nil, errors.New("closed")
		}
		return nil, nil
	}}
	defer close(stuck)
	d := newTestDesk(f, target("t1", "a"), target("t2", "a"))
	started := time.Now()
	out, err := d.Produce(context.Background(), testGroup("r", 1, 1), noNotice)
	if err != nil || out[0].Reason != batch.Completed {
		t.Fatalf("got %v (%v), want a result of the other target", out, err)
	}
	if got, want := time.Since(started), 600*time.Millisecond; got > want {
		t.Errorf("result came after %s, want at most %s", got, want)
	}
}

func TestRefusesAtOnceWhatCannotBeginInTime(t *testing.T) {
	f := &fakeCaller{}
	d := newTestDesk(f, target("t1", "a"))
	for i := range 20 {
		go func() { _, _ = d.Produce(context.Background(), testGroup(fmt.Sprint(i), 4, 1), noNotice) }()
	}
	time.Sleep(20 * time.Millisecond)
	g := testGroup("late", 1, 1)
	g.StartByDeadline = time.Now().Add(200 * time.Millisecond)
	started := time.Now()
	_, err := d.Produce(context.Background(), g, noNotice)
	var full *batch.RefusedError
	if !errors.As(err, &full) || full.Wait < 500*time.Millisecond {
		t.Errorf("got %v, want a refusal with the wait", err)
	}
	if got, want := time.Since(started), 50*time.Millisecond; got > want {
		t.Errorf("refused after %s, want at once", got)
	}
}

func TestDropsWhatNobodyWaitsFor(t *testing.T) {
	f := &fakeCaller{}
	d := newTestDesk(f, target("t1", "a"))
	go func() { _, _ = d.Produce(context.Background(), testGroup("first", 4, 1), noNotice) }()
	time.Sleep(10 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, err := d.Produce(ctx, testGroup("gone", 4, 1), noNotice)
		gone <- err
	}()
	time.Sleep(10 * time.Millisecond)
	cancel()
	if err := <-gone; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	time.Sleep(150 * time.Millisecond)
	for _, c := range f.seen() {
		for _, p := range c.pieces {
			if p.Request == "gone" {
				t.Fatal("a piece was made though nobody waits for it")
			}
		}
	}
}

// TestWaitsForRoomThatUnknownResultsHold replays a desk that took over from a node that is gone: the target's room is
// partly held by results that nobody will free, and the target does not tell its space.
func TestWaitsForRoomThatUnknownResultsHold(t *testing.T) {
	f := &fakeCaller{space: func() (batch.Space, error) { return batch.Space{}, errors.New("no report") }}
	f.run = func(n int, _ registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		if n == 1 {
			return full(pieces), nil
		}
		return nil, nil
	}
	d := newTestDesk(f, target("t1", "a"))
	out, err := d.Produce(context.Background(), testGroup("r", 2, 500), noNotice)
	if err != nil || out[0].Reason != batch.Completed || out[1].Reason != batch.Completed {
		t.Fatalf("got %v (%v), want both pieces made in the end", out, err)
	}
	calls := f.seen()
	if got, want := calls[1].at.Sub(calls[0].at), testTerms.ResultTTL/8; got < want {
		t.Errorf("second call came %s after the one without room, want at least %s", got, want)
	}
}

func full(pieces []batch.Piece) []batch.Result {
	out := make([]batch.Result, len(pieces))
	for i := range out {
		out[i].Reason = batch.NoSpace
	}
	return out
}

// TestAsksATargetForItsSpaceBeforeTheFirstCall replays the same take-over with a target that tells its space: no call
// is spent on pieces that would come back, and the first one is made as soon as there is space.
func TestAsksATargetForItsSpaceBeforeTheFirstCall(t *testing.T) {
	started := time.Now()
	held := 400 * time.Millisecond
	f := &fakeCaller{space: func() (batch.Space, error) {
		if time.Since(started) < held {
			return batch.Space{Min: 100, Max: 100}, nil
		}
		return batch.Space{Min: testTerms.ResultSpace, Max: testTerms.ResultSpace}, nil
	}}
	d := newTestDesk(f, target("t1", "a"))
	out, err := d.Produce(context.Background(), testGroup("r", 2, 400), noNotice)
	if err != nil || out[0].Reason != batch.Completed || out[1].Reason != batch.Completed {
		t.Fatalf("got %v (%v), want both pieces made", out, err)
	}
	calls := f.seen()
	if got, want := len(calls), 1; got != want {
		t.Errorf("%d calls, want %d", got, want)
	}
	if got, want := calls[0].at.Sub(started), held+2*lookEvery; got < held || got > want {
		t.Errorf("call came after %s, want between %s and %s", got, held, want)
	}
}

// TestKeepsInputsWhileAnotherDeskUsesTheTarget replays two desks of one service, as after a cut: a call may wait behind
// one of the other desk, and needs its inputs only then.
func TestKeepsInputsWhileAnotherDeskUsesTheTarget(t *testing.T) {
	f := &fakeCaller{others: 1}
	d := newTestDesk(f, target("t1", "a"))
	if _, err := d.Produce(context.Background(), testGroup("first", 1, 1), noNotice); err != nil {
		t.Fatal(err)
	}
	var ended, begun atomic.Bool
	f.run = func(_ int, x registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		time.Sleep(3 * fetchTime)
		if begun.Load() {
			t.Error("inputs were given up before the call had ended")
		}
		ended.Store(true)
		return f.made(x, pieces), nil
	}
	g := testGroup("second", 1, 1)
	g.PieceKey, g.Inputs = "", []string{"t9:1/1"}
	out, err := d.Produce(context.Background(), g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() { begun.Store(true) }})
	if err != nil || out[0].Reason != batch.Completed || !ended.Load() {
		t.Fatalf("got %v (%v), want the piece made", out, err)
	}
}

// TestWaitsForASlowCallWhoseInputsAreFreed replays a target that turns slow: a second call for its pieces would find
// their inputs gone, while the first still brings its results.
func TestWaitsForASlowCallWhoseInputsAreFreed(t *testing.T) {
	f := &fakeCaller{}
	f.run = func(n int, x registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		if n == 1 {
			time.Sleep(600 * time.Millisecond)
			return f.made(x, pieces), nil
		}
		out := make([]batch.Result, len(pieces))
		for i := range out {
			out[i].Reason = batch.InputLost
		}
		return out, nil
	}
	d := newTestDesk(f, target("t1", "a"), target("t2", "a"))
	g := testGroup("r", 2, 1)
	g.PieceKey, g.Inputs = "", []string{"t9:1/1"}
	out, err := d.Produce(context.Background(), g, noNotice)
	if err != nil || out[0].Reason != batch.Completed || out[1].Reason != batch.Completed {
		t.Errorf("got %v (%v), want the results of the slow call", out, err)
	}
}
