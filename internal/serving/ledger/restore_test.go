package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

// restoredFleet is a fleet of processes that serve one shard in turn, on a platform that comes back from older copies.
type restoredFleet struct {
	store     *store.Store
	ctx       context.Context
	mu        sync.Mutex
	processes []*restoredProcess
	sends     map[string][]grant
	outcomes  map[string]string
	crashes   []crash
	// restores holds when the copies were made that the platform has come back from.
	restores []time.Time
	faults   []string
}

type grant struct {
	process int
	run     int
	at      time.Time
}

type crash struct {
	process int
	run     int
}

// restoredProcess is one process: its connection to the platform, its holder and what it carries.
type restoredProcess struct {
	index   int
	run     int
	session *store.Session
	holder  *Holder
	opening bool
	carries []Carry
	paused  bool
	stop    context.CancelFunc
}

func newRestoredFleet(ctx context.Context) *restoredFleet {
	f := &restoredFleet{store: store.New(), ctx: ctx, sends: map[string][]grant{}, outcomes: map[string]string{}}
	f.store.Restore(f.store.Copy())
	for i := range 3 {
		f.processes = append(f.processes, &restoredProcess{index: i, session: f.store.Connect()})
	}
	return f
}

var errProcessPaused = errors.New("process does not answer")

// carried suspends the holder of a process that learns of an era, and returns what it carries.
func (f *restoredFleet) carried(p *restoredProcess, era uint64) ([]Carry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.paused {
		return nil, errProcessPaused
	}
	_ = p.session.RaiseEra(era)
	if p.holder != nil && p.holder.Era() < p.session.Era() {
		p.carries = append(p.carries, p.holder.Suspend())
		p.holder = nil
	}
	return slices.Clone(p.carries), nil
}

func (f *restoredFleet) recover(_ context.Context, era uint64) ([]Carry, error) {
	var all []Carry
	for _, p := range f.processes {
		carries, err := f.carried(p, era)
		if err != nil {
			return nil, err
		}
		all = append(all, carries...)
	}
	return all, nil
}

// holderOf returns the holder of a process, which opens the shard if it has none; nil if it cannot.
func (f *restoredFleet) holderOf(p *restoredProcess) (*Holder, int) {
	f.mu.Lock()
	session := p.session
	f.mu.Unlock()
	if _, err := f.carried(p, session.Era()); err != nil {
		return nil, 0
	}
	f.mu.Lock()
	if p.holder != nil && !p.holder.Lost() {
		defer f.mu.Unlock()
		return p.holder, p.run
	}
	if p.opening || p.paused {
		f.mu.Unlock()
		return nil, 0
	}
	p.opening = true
	run := p.run
	session = p.session
	f.mu.Unlock()
	cfg := newConfig(nil, fmt.Sprintf("p%d-%d", p.index, run))
	cfg.Store, cfg.Recover = session, f.recover
	h, err := Open(f.ctx, cfg)
	f.mu.Lock()
	defer f.mu.Unlock()
	p.opening = false
	if err != nil || p.run != run {
		return nil, 0
	}
	ctx, stop := context.WithCancel(f.ctx)
	p.stop = stop
	go h.Run(ctx)
	p.holder = h
	return h, run
}

// request does what a coordinator does at one process: claim, send, settle.
func (f *restoredFleet) request(p *restoredProcess, key, id string, work time.Duration) {
	h, run := f.holderOf(p)
	if h == nil {
		return
	}
	res := h.Claim(f.ctx, newRow(key, id))
	f.mu.Lock()
	if want, ok := f.outcomes[key]; ok && res.Status == Done && string(res.Body) != want {
		f.faults = append(f.faults, fmt.Sprintf("key %s: got outcome %q, want %q", key, res.Body, want))
	}
	if res.Status != Granted || p.run != run {
		f.mu.Unlock()
		return
	}
	f.sends[key] = append(f.sends[key], grant{process: p.index, run: run, at: time.Now()})
	f.mu.Unlock()
	time.Sleep(work)
	for range 20 {
		if h, _ := f.holderOf(p); h != nil && h.Settle(f.ctx, key, id, Settled, []byte(id), time.Second).Status == Done {
			f.mu.Lock()
			f.outcomes[key] = id
			f.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *restoredFleet) crash(p *restoredProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, crash{process: p.index, run: p.run})
	p.run++
	p.carries, p.session = nil, f.store.Connect()
	if p.holder != nil {
		p.holder.Suspend()
		p.stop()
		p.holder = nil
	}
}

func (f *restoredFleet) pause(p *restoredProcess, paused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.paused = paused
}

// checkOutcomes lets a process open the shard anew: it must know every outcome, unless a process that had lost rows crashed.
func (f *restoredFleet) checkOutcomes() {
	if len(f.crashes) > 0 {
		return
	}
	if _, err := f.recover(f.ctx, f.store.Era()); err != nil {
		f.faults = append(f.faults, err.Error())
		return
	}
	p := f.processes[0]
	p.holder = nil
	h, _ := f.holderOf(p)
	if h == nil {
		f.faults = append(f.faults, "got no holder at the end")
		return
	}
	for key, want := range f.outcomes {
		if got := h.Claim(f.ctx, newRow(key, "late")); got.Status != Done || string(got.Body) != want {
			f.faults = append(f.faults, fmt.Sprintf("key %s: got %s with %q at the end, want %s with %q", key, got.Status, got.Body, Done, want))
		}
	}
}

// check reports the keys that were sent twice, unless the row of the first send can only have been known to a process that crashed,
// since the platform has come back from a copy that is older.
func (f *restoredFleet) check() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, sends := range f.sends {
		for _, first := range sends[:len(sends)-1] {
			crashed := slices.ContainsFunc(f.crashes, func(c crash) bool { return c.process == first.process && c.run == first.run })
			lost := slices.ContainsFunc(f.restores, func(copied time.Time) bool { return !copied.After(first.at) })
			if !crashed || !lost {
				f.faults = append(f.faults, fmt.Sprintf("key %s: got sends %+v, want one", key, sends))
				break
			}
		}
	}
	return f.faults
}

// action is one step of a schedule.
type action string

// TestKeysAreSentOnceWhenThePlatformIsRestored runs schedules of requests, copies, restores, crashes and pauses of the processes
// that serve a shard.
func TestKeysAreSentOnceWhenThePlatformIsRestored(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(rapid.SampledFrom([]action{"request", "request", "request", "request", "copy", "restore", "restore", "crash", "pause", "resume", "lose", "slow"}), 20, 80).Draw(rt, "schedule")
		seed := rapid.Uint64().Draw(rt, "seed")
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = playSchedule(t, schedule, seed) })
		if len(faults) > 0 {
			rt.Fatalf("%d faults: %s", len(faults), faults[0])
		}
	})
}

func playSchedule(t *testing.T, schedule []action, seed uint64) []string {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	f := newRestoredFleet(ctx)
	random := rand.New(rand.NewPCG(seed, 1))
	copied, copiedAt := f.store.Copy(), time.Now()
	var requests sync.WaitGroup
	for n, a := range schedule {
		p := f.processes[random.IntN(len(f.processes))]
		key, work := fmt.Sprint(random.IntN(6)), time.Duration(random.IntN(300))*time.Millisecond
		switch a {
		case "request":
			requests.Go(func() { f.request(p, key, fmt.Sprint("id", n), work) })
		case "copy":
			copied, copiedAt = f.store.Copy(), time.Now()
		case "restore":
			f.mu.Lock()
			f.restores = append(f.restores, copiedAt)
			f.mu.Unlock()
			f.store.Restore(copied)
		case "crash":
			f.crash(p)
		case "pause":
			f.pause(p, true)
		case "resume":
			f.pause(p, false)
		case "lose":
			f.store.SetFaults(store.Faults{LostResponses: 1 + random.IntN(2)})
		case "slow":
			f.store.SetFaults(store.Faults{AddedLatency: time.Duration(random.IntN(60)) * time.Millisecond})
		}
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	f.store.SetFaults(store.Faults{})
	for _, p := range f.processes {
		f.pause(p, false)
	}
	requests.Wait()
	f.checkOutcomes()
	return f.check()
}

// TestHolderWritesLostRowsAgain covers a claim that was granted after the copy was made: the platform comes back without it, and
// whoever opens the shard next knows it.
func TestHolderWritesLostRowsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t.Context())
		a, b := f.processes[0], f.processes[1]
		h, _ := f.holderOf(a)
		if got := h.Claim(t.Context(), newRow("before", "r0")); got.Status != Granted {
			t.Fatalf("got %s, want %s", got.Status, Granted)
		}
		copied := f.store.Copy()
		if got := h.Claim(t.Context(), newRow("k", "r1")); got.Status != Granted {
			t.Fatalf("got %s, want %s", got.Status, Granted)
		}
		f.store.Restore(copied)
		next, _ := f.holderOf(b)
		if next == nil {
			t.Fatal("got no holder after the restore")
		}
		for _, key := range []string{"before", "k"} {
			if got := next.Claim(t.Context(), newRow(key, "r2")); got.Status != Running {
				t.Errorf("key %s: got %s from the next holder, want %s", key, got.Status, Running)
			}
		}
		if got := next.Settle(t.Context(), "k", "r1", Settled, []byte("x"), time.Second); got.Status != Done {
			t.Errorf("got %s for the settlement of a lost claim, want %s", got.Status, Done)
		}
		if got := h.Claim(t.Context(), newRow("other", "r3")); got.Status != NotHolder {
			t.Errorf("got %s from the former holder, want %s", got.Status, NotHolder)
		}
		f.pause(b, true)
		if got, _ := f.holderOf(a); got == nil {
			t.Error("got no holder in the same era while the former one does not answer")
		}
		f.store.Restore(copied)
		a.carries = nil
		f.mu.Lock()
		a.holder = nil
		f.mu.Unlock()
		if _, err := a.session.List(t.Context(), Kind, ""); err != nil {
			t.Fatal(err)
		}
		if got, _ := f.holderOf(a); got != nil {
			t.Error("got a holder in a new era although a process that may have rows does not answer")
		}
	})
}
