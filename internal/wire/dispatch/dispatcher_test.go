package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch/deskpb"
)

// fakeTargets is a TargetClient for tests; a call takes the time of testProfile unless run says otherwise.
type fakeTargets struct {
	mu    sync.Mutex
	calls []recordedCall
	freed []string
	space func() (batch.Space, error)
	// otherCalls is the number of calls of other dispatchers that the target reports.
	otherCalls int
	// workTime returns the work time that a target reports; it may be nil.
	workTime    func(t registry.Target) float64
	run         func(n int, t registry.Target, pieces []batch.Piece) ([]batch.Result, error)
	resultCount int
}

type recordedCall struct {
	target    string
	pieces    []batch.Piece
	startedAt time.Time
}

func (f *fakeTargets) RunBatch(_ context.Context, now time.Time, t registry.Target, pieces []batch.Piece, _ notice.Recorder) (batch.Reply, error) {
	f.mu.Lock()
	f.calls = append(f.calls, recordedCall{target: t.ID, pieces: append([]batch.Piece(nil), pieces...), startedAt: now})
	n := len(f.calls)
	f.mu.Unlock()
	if f.run != nil {
		if out, err := f.run(n, t, pieces); out != nil || err != nil {
			return f.reply(t, out), err
		}
	}
	time.Sleep(testProfile.CallDuration(len(pieces)))
	return f.reply(t, f.newResults(t, pieces)), nil
}

func (f *fakeTargets) reply(t registry.Target, results []batch.Result) batch.Reply {
	r := batch.Reply{Results: results, Running: f.otherCalls}
	if f.workTime != nil {
		r.WorkTime = f.workTime(t)
	}
	return r
}

func (f *fakeTargets) newResults(t registry.Target, pieces []batch.Piece) []batch.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []batch.Result
	for range pieces {
		f.resultCount++
		out = append(out, batch.Result{Handle: fmt.Sprintf("%s/%d", t.Address, f.resultCount), Datacentre: t.Datacentre})
	}
	return out
}

// AvailableSpace reports that all result space is free, or what space returns.
func (f *fakeTargets) AvailableSpace(context.Context, registry.Target, notice.Recorder) (batch.Space, error) {
	if f.space != nil {
		return f.space()
	}
	return batch.Space{Min: testProfile.ResultSpace, Max: testProfile.ResultSpace}, nil
}

func (f *fakeTargets) Free(_ context.Context, _ string, handles []string, _ notice.Recorder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, handles...)
	return nil
}

func (f *fakeTargets) recordedCalls() []recordedCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]recordedCall(nil), f.calls...)
}

var testProfile = route.BatchProfile{MaxSize: 4, CallTime: 50 * time.Millisecond, PieceTime: 2 * time.Millisecond, ResultSpace: 1000, ResultTTL: time.Second}

func newTestDispatcher(f *fakeTargets, targets ...registry.Target) *Dispatcher {
	table := route.NewTable(route.Config{Version: 1, Services: []route.Service{{Name: "s", Batch: testProfile}}})
	r := registry.New().WithTargets(targets, time.Time{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	ready := make(chan struct{})
	close(ready)
	return New(Config{
		Targets: f, Table: func() *route.Table { return table }, Ready: ready, Registry: func() *registry.Registry { return r }, Notices: newTestKeeper(), Log: log, Meter: noMeter{}, Now: time.Now,
		Quarantine: quarantine.NewKeeper(quarantine.KeeperConfig{Node: "n-1", OnReport: func(quarantine.Urgency) {}, OnEvidence: func() {}}),
		CrashedRun: func(context.Context, registry.Target) (notice.Target, bool) { return notice.Target{}, false },
		TakeTrial:  func(context.Context, quarantine.Trait) bool { return false }, PassTrial: func(quarantine.Trait) {},
		AllowRetry: func(time.Time, string) bool { return true }, RecordFirstSend: func(time.Time, string) {},
	})
}

func newTestKeeper() *notice.Keeper {
	return notice.NewKeeper(notice.KeeperConfig{
		OnNotice: func(time.Time, notice.Target, notice.Notice, notice.Source) {}, OnInvalid: func(notice.Target, error) {},
	})
}

type noMeter struct{}

func (noMeter) RecordStageCall(string, string, int, int, time.Duration) {}
func (noMeter) RecordRejectedGroup(string, string)                      {}
func (noMeter) SetQueuedPieces(string, int)                             {}
func (noMeter) CountCrash(string, string)                               {}
func (noMeter) SetWorkTimes(string, float64, float64)                   {}

func target(id, datacentre string) registry.Target {
	return registry.Target{ID: id, Service: "s", Address: id + ":1", Datacentre: datacentre, State: registry.Ready}
}

func testGroup(request string, count int, bytes int64) batch.Group {
	now := time.Now()
	return batch.Group{Service: "s", Request: request, Count: count, PieceKey: "k", ResultBytes: bytes, StartByObjective: now.Add(time.Second), StartByDeadline: now.Add(2 * time.Second)}
}

var noCallbacks = Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() {}}

func TestBatchesPiecesWhileACallRuns(t *testing.T) {
	f := &fakeTargets{}
	d := newTestDispatcher(f, target("t1", "a"))
	var all sync.WaitGroup
	for i := range 9 {
		all.Add(1)
		go func() {
			defer all.Done()
			if _, err := d.Produce(context.Background(), testGroup(fmt.Sprint(i), 1, 1), noCallbacks); err != nil {
				t.Errorf("group %d: %v", i, err)
			}
		}()
	}
	all.Wait()
	if got, want := len(f.recordedCalls()), 4; got > want {
		t.Errorf("got %d calls of up to 4 for 9 pieces, want at most %d", got, want)
	}
}

func TestWaitsForResultSpace(t *testing.T) {
	f := &fakeTargets{}
	d := newTestDispatcher(f, target("t1", "a"))
	var handles []string
	out, err := d.Produce(context.Background(), testGroup("r1", 2, 400), noCallbacks)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range out {
		handles = append(handles, r.Handle)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = d.Produce(context.Background(), testGroup("r2", 1, 400), noCallbacks)
	}()
	time.Sleep(100 * time.Millisecond)
	if got, want := len(f.recordedCalls()), 1; got != want {
		t.Errorf("got %d calls while the result space is full, want %d", got, want)
	}
	d.Free(handles)
	select {
	case <-done:
	case <-time.After(time.Second):
		t.Error("no call after the results were freed")
	}
}

func TestRetriesPiecesOfAFailedTargetOnAnother(t *testing.T) {
	f := &fakeTargets{run: func(_ int, x registry.Target, _ []batch.Piece) ([]batch.Result, error) {
		if x.ID == "t1" {
			return nil, errors.New("connection refused")
		}
		return nil, nil
	}}
	d := newTestDispatcher(f, target("t1", "a"), target("t2", "a"))
	for i := range 3 {
		out, err := d.Produce(context.Background(), testGroup(fmt.Sprint(i), 2, 1), noCallbacks)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range out {
			if r.Reason != batch.Completed {
				t.Errorf("got reason %q, want the piece completed by the other target", r.Reason)
			}
		}
	}
}

// TestRetriesOverdueCallOnAnotherTarget covers a target that stops responding in the middle of a call.
func TestRetriesOverdueCallOnAnotherTarget(t *testing.T) {
	stuck := make(chan struct{})
	f := &fakeTargets{run: func(n int, _ registry.Target, _ []batch.Piece) ([]batch.Result, error) {
		if n == 1 {
			<-stuck
			return nil, errors.New("closed")
		}
		return nil, nil
	}}
	defer close(stuck)
	d := newTestDispatcher(f, target("t1", "a"), target("t2", "a"))
	started := time.Now()
	out, err := d.Produce(context.Background(), testGroup("r", 1, 1), noCallbacks)
	if err != nil || out[0].Reason != batch.Completed {
		t.Fatalf("got %v (%v), want a result of the other target", out, err)
	}
	if got, want := time.Since(started), 600*time.Millisecond; got > want {
		t.Errorf("result came after %s, want at most %s", got, want)
	}
}

func TestRefusesGroupThatCannotStartInTime(t *testing.T) {
	f := &fakeTargets{}
	d := newTestDispatcher(f, target("t1", "a"))
	for i := range 20 {
		go func() { _, _ = d.Produce(context.Background(), testGroup(fmt.Sprint(i), 4, 1), noCallbacks) }()
	}
	time.Sleep(20 * time.Millisecond)
	g := testGroup("late", 1, 1)
	g.StartByDeadline = time.Now().Add(200 * time.Millisecond)
	started := time.Now()
	_, err := d.Produce(context.Background(), g, noCallbacks)
	var refusedErr *batch.RejectedError
	if !errors.As(err, &refusedErr) || refusedErr.Wait < 500*time.Millisecond {
		t.Errorf("got %v, want a refusal with the expected wait", err)
	}
	if got, want := time.Since(started), 50*time.Millisecond; got > want {
		t.Errorf("refused after %s, want at once", got)
	}
}

func TestDropsPiecesOfCancelledGroup(t *testing.T) {
	f := &fakeTargets{}
	d := newTestDispatcher(f, target("t1", "a"))
	go func() { _, _ = d.Produce(context.Background(), testGroup("first", 4, 1), noCallbacks) }()
	time.Sleep(10 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, err := d.Produce(ctx, testGroup("gone", 4, 1), noCallbacks)
		gone <- err
	}()
	time.Sleep(10 * time.Millisecond)
	cancel()
	if err := <-gone; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	time.Sleep(150 * time.Millisecond)
	for _, c := range f.recordedCalls() {
		for _, p := range c.pieces {
			if p.Request == "gone" {
				t.Fatal("a piece of a cancelled group was run")
			}
		}
	}
}

// TestWaitsForSpaceHeldByUntrackedResults covers a dispatcher that took over from a lost node: part of the target's
// space is held by results that nobody frees, and the target does not report its space.
func TestWaitsForSpaceHeldByUntrackedResults(t *testing.T) {
	f := &fakeTargets{space: func() (batch.Space, error) { return batch.Space{}, errors.New("no report") }}
	f.run = func(n int, _ registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		if n == 1 {
			return noSpaceResults(pieces), nil
		}
		return nil, nil
	}
	d := newTestDispatcher(f, target("t1", "a"))
	out, err := d.Produce(context.Background(), testGroup("r", 2, 500), noCallbacks)
	if err != nil || out[0].Reason != batch.Completed || out[1].Reason != batch.Completed {
		t.Fatalf("got %v (%v), want both pieces completed in the end", out, err)
	}
	calls := f.recordedCalls()
	if got, want := calls[1].startedAt.Sub(calls[0].startedAt), testProfile.ResultTTL/8; got < want {
		t.Errorf("second call came %s after the one without space, want at least %s", got, want)
	}
}

func noSpaceResults(pieces []batch.Piece) []batch.Result {
	out := make([]batch.Result, len(pieces))
	for i := range out {
		out[i].Reason = batch.NoSpace
	}
	return out
}

// TestProbesTargetSpaceBeforeTheFirstCall covers the same takeover with a target that reports its space: no call is
// wasted on pieces that would be turned down, and the first call starts as soon as there is space.
func TestProbesTargetSpaceBeforeTheFirstCall(t *testing.T) {
	started := time.Now()
	held := 400 * time.Millisecond
	f := &fakeTargets{space: func() (batch.Space, error) {
		if time.Since(started) < held {
			return batch.Space{Min: 100, Max: 100}, nil
		}
		return batch.Space{Min: testProfile.ResultSpace, Max: testProfile.ResultSpace}, nil
	}}
	d := newTestDispatcher(f, target("t1", "a"))
	out, err := d.Produce(context.Background(), testGroup("r", 2, 400), noCallbacks)
	if err != nil || out[0].Reason != batch.Completed || out[1].Reason != batch.Completed {
		t.Fatalf("got %v (%v), want both pieces completed", out, err)
	}
	calls := f.recordedCalls()
	if got, want := len(calls), 1; got != want {
		t.Errorf("got %d calls, want %d", got, want)
	}
	if got, want := calls[0].startedAt.Sub(started), held+2*recheckInterval; got < held || got > want {
		t.Errorf("call came after %s, want between %s and %s", got, held, want)
	}
}

// TestPiecesBesideOneThatCrashesTargetsAreMade covers a call whose target crashes under one of its pieces, and the next attempt of that
// piece's request.
func TestPiecesBesideOneThatCrashesTargetsAreMade(t *testing.T) {
	f := &fakeTargets{}
	f.run = func(_ int, _ registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		if slices.ContainsFunc(pieces, func(p batch.Piece) bool { return p.PieceKey == "bad" }) {
			return nil, errors.New("connection reset")
		}
		return nil, nil
	}
	d := newTestDispatcher(f, target("t-0", "a"), target("t-1", "a"), target("t-2", "a"), target("t-3", "a"))
	crashes := 0
	d.cfg.CrashedRun = func(context.Context, registry.Target) (notice.Target, bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		crashes++
		return notice.Target{ID: fmt.Sprint("run-", crashes)}, true
	}
	produce := func(key string) ([]batch.Result, error) {
		g := testGroup(key, 1, 10)
		g.PieceKey, g.Identity = key, []byte(key)
		return d.Produce(t.Context(), g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() {}})
	}
	// All targets are busy when the pieces come, so that the next call has them together.
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { _, _ = produce(fmt.Sprint("busy", i)) })
	}
	time.Sleep(20 * time.Millisecond)
	results := make([][]batch.Result, 4)
	for i, key := range []string{"bad", "sound1", "sound2", "sound3"} {
		wg.Go(func() { results[i], _ = produce(key) })
	}
	wg.Wait()
	for i, r := range results {
		want := batch.Completed
		if i == 0 {
			want = batch.Failed
		}
		if len(r) != 1 || r[0].Reason != want {
			t.Errorf("got results %v for group %d, want one with reason %q", r, i, want)
		}
	}
	if crashes > maxAttempts {
		t.Errorf("got %d crashes, want at most %d", crashes, maxAttempts)
	}
	before := crashes
	var rejected *batch.RejectedError
	if _, err := produce("bad"); !errors.As(err, &rejected) || !rejected.Quarantined || crashes != before {
		t.Errorf("got error %v with %d more crashes for the next attempt, want it rejected", err, crashes-before)
	}
}

// TestPieceThatCrashesTargetsIsGivenUp covers a piece under which every target breaks off: it ends no more than maxAttempts.
func TestPieceThatCrashesTargetsIsGivenUp(t *testing.T) {
	f := &fakeTargets{}
	f.run = func(_ int, _ registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		for _, p := range pieces {
			if p.Request == "crashing" {
				return nil, errors.New("connection reset")
			}
		}
		return nil, nil
	}
	var targets []registry.Target
	for i := range 8 {
		targets = append(targets, target(fmt.Sprintf("t-%d", i), "a"))
	}
	d := newTestDispatcher(f, targets...)
	results, err := d.Produce(t.Context(), testGroup("crashing", 1, 10), Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() {}})
	if err != nil || len(results) != 1 || results[0].Reason != batch.Failed {
		t.Errorf("got results %v, error %v, want one failed piece", results, err)
	}
	if got := len(f.recordedCalls()); got != maxAttempts {
		t.Errorf("got %d calls with the piece, want %d", got, maxAttempts)
	}
}

// TestPieceThatWasNotSentIsNoSuspect covers pieces that find their target crashed: they did not crash it.
func TestPieceThatWasNotSentIsNoSuspect(t *testing.T) {
	f := &fakeTargets{run: func(int, registry.Target, []batch.Piece) ([]batch.Result, error) {
		return nil, fmt.Errorf("stage call: %w: connection refused", connection.ErrUnsent)
	}}
	d := newTestDispatcher(f, target("t-0", "a"), target("t-1", "a"), target("t-2", "a"))
	d.cfg.CrashedRun = func(_ context.Context, t registry.Target) (notice.Target, bool) { return t.Run(), true }
	g := testGroup("sound", 1, 10)
	g.Identity = []byte("sound")
	results, err := d.Produce(t.Context(), g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() {}})
	if err != nil || len(results) != 1 || results[0].Reason != batch.Failed {
		t.Errorf("got results %v, error %v, want one failed piece", results, err)
	}
	if got := d.cfg.Quarantine.Own(time.Now()).Strikes; len(got) != 0 {
		t.Errorf("got strikes %v, want none", got)
	}
}

// TestGroupsOfOtherNodesAreChecked guards against a count of another node that is narrowed on its way, and would size memory or end the
// process: such a group is rejected at once, and others are run.
func TestGroupsOfOtherNodesAreChecked(t *testing.T) {
	d := newTestDispatcher(&fakeTargets{}, target("t1", "a"))
	for _, count := range []int32{-1, math.MinInt32, -1294967296, batch.MaxPieces + 1, math.MaxInt32} {
		now := time.Now()
		g := fromMessage(now, &deskpb.Group{Service: "s", Request: "r", Count: count, PromptUs: 5e6, LastUs: 5e6})
		_, err := d.Produce(t.Context(), g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() {}})
		var rejected *batch.RejectedError
		if took := time.Since(now); !errors.As(err, &rejected) || took > 100*time.Millisecond {
			t.Errorf("%d pieces: got %v after %s, want a rejection at once", count, err, took)
		}
	}
	now := time.Now()
	g := fromMessage(now, &deskpb.Group{Service: "s", Request: "r", Count: 2, PromptUs: 5e6, LastUs: 5e6})
	if out, err := d.Produce(t.Context(), g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: func() {}}); err != nil || len(out) != 2 {
		t.Errorf("got %d results (%v), want 2", len(out), err)
	}
}
