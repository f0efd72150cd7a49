package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// slowFactor is how much longer than the fast target the slow one takes, which it also reports.
const slowFactor = 5

// workTimeMeter keeps the last factors of targets.
type workTimeMeter struct {
	noMeter
	mu              sync.Mutex
	least, greatest float64
}

func (m *workTimeMeter) SetWorkTimes(_ string, least, greatest float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.least, m.greatest = least, greatest
}

// lockedBuffer is a buffer that a log writes to from several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// produceAll runs groups of one piece at the same time and waits for them.
func produceAll(t *testing.T, d *Dispatcher, requests ...string) {
	t.Helper()
	var all sync.WaitGroup
	for _, r := range requests {
		all.Go(func() {
			if _, err := d.Produce(context.Background(), testGroup(r, 4, 1), noCallbacks); err != nil {
				t.Errorf("group %s: %v", r, err)
			}
		})
	}
	all.Wait()
}

// TestPieceLeavesFastTargetThatHangs covers a piece that waits for a fast target while a slow one is idle: it must go to the slow one when the
// call of the fast one takes longer than expected, and not only once that call is overdue and its pieces are sent again.
func TestPieceLeavesFastTargetThatHangs(t *testing.T) {
	var isHanging atomic.Bool
	stuck := make(chan struct{})
	f := &fakeTargets{workTime: func(x registry.Target) float64 {
		if x.ID == "slow" {
			return slowFactor
		}
		return 1
	}}
	f.run = func(_ int, x registry.Target, pieces []batch.Piece) ([]batch.Result, error) {
		if x.ID == "slow" {
			time.Sleep((slowFactor - 1) * testProfile.CallDuration(len(pieces)))
			return nil, nil
		}
		if isHanging.Load() {
			<-stuck
			return nil, errors.New("closed")
		}
		return nil, nil
	}
	defer close(stuck)
	d := newTestDispatcher(f, target("fast", "a"), target("slow", "a"))
	var out lockedBuffer
	log := logrus.New()
	log.SetOutput(&out)
	var meter workTimeMeter
	d.cfg.Log, d.cfg.Meter = log, &meter
	for i := range 4 {
		produceAll(t, d, fmt.Sprint(i, "a"), fmt.Sprint(i, "b"), fmt.Sprint(i, "c"), fmt.Sprint(i, "d"), fmt.Sprint(i, "e"), fmt.Sprint(i, "f"), fmt.Sprint(i, "g"), fmt.Sprint(i, "h"))
	}
	isHanging.Store(true)
	before := len(f.recordedCalls())
	go func() { _, _ = d.Produce(context.Background(), testGroup("hangs", 4, 1), noCallbacks) }()
	for len(f.recordedCalls()) == before {
		time.Sleep(time.Millisecond)
	}
	if _, err := d.Produce(context.Background(), testGroup("waits", 1, 1), noCallbacks); err != nil {
		t.Fatal(err)
	}
	calls := f.recordedCalls()[before:]
	if got, want := calls[0].target, "fast"; got != want {
		t.Errorf("got the first call at %q, want %q", got, want)
	}
	if c := calls[1]; c.target != "slow" || len(c.pieces) != 1 || c.pieces[0].Request != "waits" {
		t.Errorf("got a call of %d pieces at %q, want the waiting piece alone at the slow target", len(c.pieces), c.target)
	}
	if got := calls[1].startedAt.Sub(calls[0].startedAt); got < testProfile.CallDuration(4) {
		t.Errorf("got the call at the slow target %s after the other, want it to wait for the fast one at first", got)
	}
	meter.mu.Lock()
	least, greatest := meter.least, meter.greatest
	meter.mu.Unlock()
	if least > 1.5 || greatest < 2 {
		t.Errorf("got work times of %.2f to %.2f, want about 1 to %d", least, greatest, slowFactor)
	}
	for _, want := range []string{"calls are placed by the speed of targets", "basis=reported", "reported=5", "work_time=", "usual="} {
		if got := out.String(); !strings.Contains(got, want) {
			t.Errorf("got a log without %q", want)
		}
	}
	if got, want := strings.Count(out.String(), "calls are placed"), 1; got != want {
		t.Errorf("got %d lines of how calls are placed, want %d", got, want)
	}
}
