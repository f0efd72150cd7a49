package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

func open(t *testing.T, s *store.Store, writer string) *Holder {
	t.Helper()
	h, err := Open(t.Context(), config(s, writer))
	if err != nil {
		t.Fatal(err)
	}
	go h.Run(t.Context())
	return h
}

func config(s *store.Store, writer string) HolderConfig {
	return HolderConfig{Writer: writer, Store: s, Now: time.Now, CommitInterval: 5 * time.Millisecond, ClaimTimeout: time.Second, Retention: time.Hour}
}

func row(key, request string) Row {
	now := time.Now()
	return Row{Key: key, BodyHash: "d", RequestID: request, ClaimedAtMs: now.UnixMilli(), ExpiresAtMs: now.Add(10 * time.Second).UnixMilli()}
}

func TestHolderVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := open(t, store.New(), "a")
		ctx := t.Context()
		check := func(step string, got Result, want Status) {
			t.Helper()
			if got.Status != want {
				t.Errorf("%s: got %s, want %s", step, got.Status, want)
			}
		}
		check("first claim", h.Claim(ctx, row("k", "r1")), Granted)
		check("the same request again", h.Claim(ctx, row("k", "r1")), Granted)
		check("while it runs", h.Claim(ctx, row("k", "r2")), Running)
		other := row("k", "r3")
		other.BodyHash = "e"
		check("another body", h.Claim(ctx, other), KeyReused)
		check("settle by a stranger", h.Settle(ctx, "k", "r2", Settled, nil, time.Second), NotFound)
		check("settle", h.Settle(ctx, "k", "r1", Settled, []byte("answer"), time.Second), Done)
		got := h.Claim(ctx, row("k", "r4"))
		check("after it", got, Done)
		if string(got.Body) != "answer" {
			t.Errorf("got body %q, want %q", got.Body, "answer")
		}
		check("second key", h.Claim(ctx, row("v", "r5")), Granted)
		check("void it", h.Settle(ctx, "v", "r5", Void, nil, time.Second), Done)
		check("claim it anew", h.Claim(ctx, row("v", "r6")), Granted)
		time.Sleep(11 * time.Second)
		check("its claimer is over", h.Claim(ctx, row("v", "r7")), Unknown)
		time.Sleep(time.Hour)
		check("out of retention", h.Claim(ctx, row("k", "r8")), Granted)
	})
}

func TestHolderThatLostTheShardGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		old := open(t, s, "old")
		if got := old.Claim(t.Context(), row("a", "r1")); got.Status != Granted {
			t.Fatalf("got %s, want %s", got.Status, Granted)
		}
		// The old holder pauses here; a new one takes over.
		fresh := open(t, s, "new")
		if got := fresh.Claim(t.Context(), row("a", "r2")); got.Status != Running {
			t.Errorf("got %s at the new holder, want %s", got.Status, Running)
		}
		if got := old.Claim(t.Context(), row("b", "r3")); got.Status != NotHolder {
			t.Errorf("got %s at the old holder, want %s", got.Status, NotHolder)
		}
		if got := fresh.Claim(t.Context(), row("b", "r4")); got.Status != Granted {
			t.Errorf("got %s for a key that the old holder could not claim, want %s", got.Status, Granted)
		}
	})
}

// TestWritesOfOneHolderAreToldApart writes two segments in one place: a retry of the first is the holder's own,
// the second is not, though holder and place are the same.
func TestWritesOfOneHolderAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := open(t, store.New(), "a")
		first, second := h.segment([]Row{row("k", "r1")}), h.segment([]Row{row("k", "r2")})
		for _, tt := range []struct {
			name string
			s    Segment
			want bool
		}{{"first", first, true}, {"its retry", first, true}, {"second", second, false}} {
			if got, err := h.create(t.Context(), 9, tt.s); err != nil || got != tt.want {
				t.Errorf("%s: got %t %v, want %t", tt.name, got, err, tt.want)
			}
		}
	})
}

// TestHoldersOfOneNameAreToldApart opens a shard twice under one name at one moment: the first must not take the
// second's segments for its own.
func TestHoldersOfOneNameAreToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		old := open(t, s, "a")
		fresh := open(t, s, "a")
		if got := fresh.Claim(t.Context(), row("k", "r1")); got.Status != Granted {
			t.Errorf("got %s at the second, want %s", got.Status, Granted)
		}
		if got := old.Claim(t.Context(), row("k", "r2")); got.Status != NotHolder {
			t.Errorf("got %s at the first, want %s", got.Status, NotHolder)
		}
	})
}

func TestHolderSettlesLostAnswersAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		h := open(t, s, "a")
		s.SetFaults(store.Faults{LostAnswers: 1})
		if got := h.Claim(t.Context(), row("lost", "r1")); got.Status != Granted {
			t.Errorf("got %s when the answer was lost after the write, want %s", got.Status, Granted)
		}
		s.SetFaults(store.Faults{Down: true})
		began := time.Now()
		if got := h.Claim(t.Context(), row("down", "r2")); got.Status != Unavailable {
			t.Errorf("got %s while the platform is down, want %s", got.Status, Unavailable)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("got the refusal after %s, want it at once", took)
		}
		s.SetFaults(store.Faults{})
		time.Sleep(time.Second)
		if got := h.Claim(t.Context(), row("down", "r3")); got.Status != Granted {
			t.Errorf("got %s for the refused key after the outage, want %s: it was never sent", got.Status, Granted)
		}
	})
}

func TestHolderCompactsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		h := open(t, s, "a")
		const keys = 400
		for i := range keys {
			key := fmt.Sprint(i)
			h.Claim(t.Context(), row(key, "r"+key))
			h.Settle(t.Context(), key, "r"+key, Settled, []byte(key), time.Second)
		}
		time.Sleep(time.Second)
		l, err := s.List(t.Context(), Kind, "")
		if err != nil {
			t.Fatal(err)
		}
		if got, most := len(l.Items), cleanAbove+cleanBatch+2; got > most {
			t.Errorf("got %d segments, want at most %d", got, most)
		}
		next := open(t, s, "b")
		for i := range keys {
			key := fmt.Sprint(i)
			got := next.Claim(t.Context(), row(key, "again"))
			if got.Status != Done || string(got.Body) != key {
				t.Fatalf("key %s: got %s %q, want %s %q", key, got.Status, got.Body, Done, key)
			}
		}
	})
}

// model is the naive ledger: one map under one lock.
type model struct {
	mu    sync.Mutex
	sends map[string]int
	done  map[string]string
}

// TestHoldersAgainstOneMap races holders of one shard under faults of the platform and holds what they
// grant against one map: no key is sent twice, and every answer to a repeat is the one that was recorded.
func TestHoldersAgainstOneMap(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceHolders(t, seed) })
		})
	}
}

func raceHolders(t *testing.T, seed uint64) {
	s := store.New()
	m := &model{sends: map[string]int{}, done: map[string]string{}}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	// A channel, since a wait for a mutex would stop the test's clock.
	turn := make(chan struct{}, 1)
	holders := make([]*Holder, 3)
	get := func(i int) *Holder {
		turn <- struct{}{}
		defer func() { <-turn }()
		if h := holders[i]; h != nil && !h.Lost() {
			return h
		}
		h, err := Open(ctx, config(s, fmt.Sprintf("w%d-%d", i, time.Now().UnixNano())))
		if err != nil {
			return nil
		}
		go h.Run(ctx)
		holders[i] = h
		return h
	}
	var work sync.WaitGroup
	for c := range 8 {
		random := rand.New(rand.NewPCG(seed, uint64(c)))
		work.Go(func() {
			for n := range 40 {
				key := fmt.Sprint(random.IntN(25))
				h := get(random.IntN(len(holders)))
				if h != nil {
					m.request(ctx, t, h, key, fmt.Sprintf("%d-%d", c, n), random)
				}
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		})
	}
	faults := rand.New(rand.NewPCG(seed, 99))
	for range 15 {
		time.Sleep(time.Duration(faults.IntN(100)) * time.Millisecond)
		s.SetFaults(store.Faults{Down: faults.IntN(3) == 0, LostAnswers: faults.IntN(3), AddedLatency: time.Duration(faults.IntN(3)) * 20 * time.Millisecond})
	}
	s.SetFaults(store.Faults{})
	work.Wait()
	for key, n := range m.sends {
		if n > 1 {
			t.Errorf("key %s: got %d sends, want at most 1", key, n)
		}
	}
	if len(m.done) == 0 {
		t.Error("got no key settled, want some: the faults leave room")
	}
}

// request does what an entry does: claim, send, settle.
func (m *model) request(ctx context.Context, t *testing.T, h *Holder, key, id string, random *rand.Rand) {
	a := h.Claim(ctx, row(key, id))
	m.mu.Lock()
	if want, ok := m.done[key]; ok && a.Status == Done && string(a.Body) != want {
		t.Errorf("key %s: got answer %q, want %q", key, a.Body, want)
	}
	m.mu.Unlock()
	if a.Status != Granted {
		return
	}
	if random.IntN(5) == 0 {
		// Nothing was sent: the claim is given back.
		h.Settle(ctx, key, id, Void, nil, time.Second)
		return
	}
	m.mu.Lock()
	m.sends[key]++
	m.mu.Unlock()
	time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	if got := h.Settle(ctx, key, id, Settled, []byte(id), 5*time.Second); got.Status == Done {
		m.mu.Lock()
		m.done[key] = id
		m.mu.Unlock()
	}
}
