package ledger

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

func openHolder(t *testing.T, s *store.Store, writer string) *Holder {
	t.Helper()
	h, err := Open(t.Context(), newConfig(s, writer))
	if err != nil {
		t.Fatal(err)
	}
	go h.Run(t.Context())
	return h
}

func newConfig(s *store.Store, writer string) HolderConfig {
	return HolderConfig{Writer: writer, Store: s, Now: time.Now, CommitInterval: 5 * time.Millisecond, ClaimTimeout: time.Second, Retention: time.Hour}
}

func newRow(key, request string) Row {
	now := time.Now()
	return Row{Key: key, Digest: "d", RequestID: request, ClaimedAtMs: now.UnixMilli(), ExpiresAtMs: now.Add(10 * time.Second).UnixMilli()}
}

func TestHolderResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := openHolder(t, store.New(), "a")
		ctx := t.Context()
		check := func(step string, got Result, want Status) {
			t.Helper()
			if got.Status != want {
				t.Errorf("%s: got %s, want %s", step, got.Status, want)
			}
		}
		check("first claim", h.Claim(ctx, newRow("k", "r1")), Granted)
		check("second claim of the same request", h.Claim(ctx, newRow("k", "r1")), Granted)
		check("while the request runs", h.Claim(ctx, newRow("k", "r2")), Running)
		other := newRow("k", "r3")
		other.Digest = "e"
		check("another body", h.Claim(ctx, other), KeyReused)
		check("settle by another request", h.Settle(ctx, "k", "r2", Settled, nil, time.Second), NotFound)
		check("settle", h.Settle(ctx, "k", "r1", Settled, []byte("answer"), time.Second), Done)
		got := h.Claim(ctx, newRow("k", "r4"))
		check("after settle", got, Done)
		if string(got.Body) != "answer" {
			t.Errorf("got body %q, want %q", got.Body, "answer")
		}
		check("second key", h.Claim(ctx, newRow("v", "r5")), Granted)
		check("void", h.Settle(ctx, "v", "r5", Void, nil, time.Second), Done)
		check("claim after void", h.Claim(ctx, newRow("v", "r6")), Granted)
		time.Sleep(11 * time.Second)
		check("claim of a request that is over", h.Claim(ctx, newRow("v", "r7")), Unknown)
		time.Sleep(time.Hour)
		check("after the retention time", h.Claim(ctx, newRow("k", "r8")), Granted)
	})
}

func TestLostHolderGrantsNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		old := openHolder(t, s, "old")
		if got := old.Claim(t.Context(), newRow("a", "r1")); got.Status != Granted {
			t.Fatalf("got %s, want %s", got.Status, Granted)
		}
		// The old holder is paused here and a new one takes over.
		successor := openHolder(t, s, "new")
		if got := successor.Claim(t.Context(), newRow("a", "r2")); got.Status != Running {
			t.Errorf("got %s at the new holder, want %s", got.Status, Running)
		}
		if got := old.Claim(t.Context(), newRow("b", "r3")); got.Status != NotHolder {
			t.Errorf("got %s at the old holder, want %s", got.Status, NotHolder)
		}
		if got := successor.Claim(t.Context(), newRow("b", "r4")); got.Status != Granted {
			t.Errorf("got %s for a key that the old holder could not claim, want %s", got.Status, Granted)
		}
	})
}

// TestWritesOfOneHolderAreDistinct writes two heads on condition of one version: a retry of the first counts as the
// holder's own write, the second does not, although holder and version are the same.
func TestWritesOfOneHolderAreDistinct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := openHolder(t, store.New(), "a")
		first, second := h.nextHead(nil, []Row{newRow("k", "r1")}), h.nextHead(nil, []Row{newRow("k", "r2")})
		version := h.headVersion
		for _, tt := range []struct {
			name string
			head Head
			want bool
		}{{"first", first, true}, {"its retry", first, true}, {"second", second, false}} {
			h.headVersion = version
			if got, err := h.putHead(t.Context(), tt.head); err != nil || got != tt.want {
				t.Errorf("%s: got %t %v, want %t", tt.name, got, err, tt.want)
			}
		}
	})
}

// TestHoldersWithSameWriterAreDistinct opens a shard twice under one writer name at the same moment: the first holder
// must not mistake the second's segments for its own.
func TestHoldersWithSameWriterAreDistinct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		old := openHolder(t, s, "a")
		successor := openHolder(t, s, "a")
		if got := successor.Claim(t.Context(), newRow("k", "r1")); got.Status != Granted {
			t.Errorf("got %s at the second, want %s", got.Status, Granted)
		}
		if got := old.Claim(t.Context(), newRow("k", "r2")); got.Status != NotHolder {
			t.Errorf("got %s at the first, want %s", got.Status, NotHolder)
		}
	})
}

func TestHolderHandlesLostResponsesAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		h := openHolder(t, s, "a")
		s.SetFaults(store.Faults{LostResponses: 1})
		if got := h.Claim(t.Context(), newRow("lost", "r1")); got.Status != Granted {
			t.Errorf("got %s when the response was lost after the write, want %s", got.Status, Granted)
		}
		s.SetFaults(store.Faults{Down: true})
		start := time.Now()
		if got := h.Claim(t.Context(), newRow("down", "r2")); got.Status != Unavailable {
			t.Errorf("got %s while the platform is down, want %s", got.Status, Unavailable)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("got the rejection after %s, want it at once", took)
		}
		s.SetFaults(store.Faults{})
		time.Sleep(time.Second)
		if got := h.Claim(t.Context(), newRow("down", "r3")); got.Status != Granted {
			t.Errorf("got %s for the rejected key after the outage, want %s: it was never sent", got.Status, Granted)
		}
	})
}

func TestHolderCompactsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		h := openHolder(t, s, "a")
		const keys = 400
		// The bodies fill more segments than a log may have.
		body := func(key string) string { return fmt.Sprintf("%2048s", key) }
		for i := range keys {
			key := fmt.Sprint(i)
			h.Claim(t.Context(), newRow(key, "r"+key))
			h.Settle(t.Context(), key, "r"+key, Settled, []byte(body(key)), time.Second)
		}
		time.Sleep(time.Second)
		l, err := s.List(t.Context(), Kind, "")
		if err != nil {
			t.Fatal(err)
		}
		if got, most := len(l.Items), minSegments+compactBatch+2; got > most {
			t.Errorf("got %d objects, want at most %d", got, most)
		}
		if h.number < minSegments {
			t.Errorf("got %d segments written, want more than %d", h.number, minSegments)
		}
		next := openHolder(t, s, "b")
		for i := range keys {
			key := fmt.Sprint(i)
			got := next.Claim(t.Context(), newRow(key, "again"))
			if got.Status != Done || string(got.Body) != body(key) {
				t.Fatalf("key %s: got %s %q, want %s %q", key, got.Status, got.Body, Done, body(key))
			}
		}
	})
}

// TestPausedHolderIsFencedAfterCompaction pauses a holder while its successor logs and compacts many claims, then resumes
// it: whatever the successor has deleted meanwhile, the former holder must grant no claim.
func TestPausedHolderIsFencedAfterCompaction(t *testing.T) {
	for _, commits := range []int{1, 15, 16, 17, 33, 40, 64, 100} {
		t.Run(fmt.Sprint(commits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				paused, err := Open(t.Context(), newConfig(s, "paused"))
				if err != nil {
					t.Fatal(err)
				}
				successor := openHolder(t, s, "successor")
				for i := range commits {
					// A large body makes every commit outgrow the last one, so that old rows are moved and compacted.
					key := fmt.Sprint("k", i)
					if got := successor.Claim(t.Context(), newRow(key, "r1")); got.Status != Granted {
						t.Fatalf("got %s for %s at the successor, want %s", got.Status, key, Granted)
					}
					body := bytes.Repeat([]byte("x"), 24<<10)
					if got := successor.Settle(t.Context(), key, "r1", Settled, body, time.Second); got.Status != Done {
						t.Fatalf("got %s settling %s, want %s", got.Status, key, Done)
					}
				}
				// What compaction has left over is deleted by the first commit after a while.
				time.Sleep(unusedRetention)
				if got := successor.Claim(t.Context(), newRow("later", "r1")); got.Status != Granted {
					t.Fatalf("got %s at the successor, want %s", got.Status, Granted)
				}
				time.Sleep(time.Second)
				go paused.Run(t.Context())
				for i := range commits {
					key := fmt.Sprint("k", i)
					if got := paused.Claim(t.Context(), newRow(key, "r2")); got.Status != NotHolder {
						t.Fatalf("got %s for %s at the former holder, want %s", got.Status, key, NotHolder)
					}
				}
				third := openHolder(t, s, "third")
				for i := range commits {
					key := fmt.Sprint("k", i)
					if got := third.Claim(t.Context(), newRow(key, "r3")); got.Status != Done {
						t.Errorf("got %s for %s after the next take-over, want %s", got.Status, key, Done)
					}
				}
			})
		})
	}
}

// TestOpenReadsLogWithoutHead opens a log of segments that was written before logs had heads.
func TestOpenReadsLogWithoutHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		settled := newRow("b", "r2")
		settled.State, settled.Body = Settled, []byte("answer")
		claimed := newRow("b", "r2")
		claimed.State = Claimed
		for i, row := range []Row{claimed, settled} {
			segment := Segment{Rows: []Row{row}}
			if _, err := s.Put(t.Context(), Kind, fmt.Sprintf("%s%012d", namePrefix(0), i+9), 0, segment); err != nil {
				t.Fatal(err)
			}
		}
		for _, writer := range []string{"first", "second"} {
			h := openHolder(t, s, writer)
			if got := h.Claim(t.Context(), newRow("b", "r3")); got.Status != Done || string(got.Body) != "answer" {
				t.Errorf("%s: got %s %q, want %s %q", writer, got.Status, got.Body, Done, "answer")
			}
		}
	})
}

func TestOpenRejectsLogWithMissingSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		if _, err := s.Put(t.Context(), Kind, HeadName(0, 0), 0, Head{Segments: []string{"0000-gone"}}); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(t.Context(), newConfig(s, "a")); err == nil || !strings.Contains(err.Error(), "0000-gone") {
			t.Errorf("got error %v, want one that names the segment", err)
		}
	})
}

// TestUnusedSegmentIsRemoved leaves a segment that its writer did not commit: it is no part of the log, and the next
// holder deletes it.
func TestUnusedSegmentIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		old := openHolder(t, s, "old")
		if _, err := old.writeSegment(t.Context(), []Row{newRow("k", "r1")}); err != nil {
			t.Fatal(err)
		}
		next := openHolder(t, s, "next")
		if got := next.Claim(t.Context(), newRow("k", "r2")); got.Status != Granted {
			t.Errorf("got %s for a key of the segment, want %s", got.Status, Granted)
		}
		count := func() int {
			list, err := s.List(t.Context(), Kind, "")
			if err != nil {
				t.Fatal(err)
			}
			return len(list.Items)
		}
		time.Sleep(time.Second)
		if got, want := count(), 2; got != want {
			t.Errorf("got %d objects, want %d: an older copy of the platform may use the segment", got, want)
		}
		time.Sleep(unusedRetention)
		if got := next.Claim(t.Context(), newRow("v", "r3")); got.Status != Granted {
			t.Errorf("got %s, want %s", got.Status, Granted)
		}
		time.Sleep(time.Second)
		if _, err := s.Get(t.Context(), Kind, HeadName(0, 0)); err != nil || count() != 1 {
			t.Errorf("got %d objects, head %v, want the head alone", count(), err)
		}
	})
}

// model is a reference implementation of the ledger: one map under one lock.
type model struct {
	mu       sync.Mutex
	sends    map[string]int
	outcomes map[string]string
}

// TestHoldersMatchModel runs competing holders of one shard under faults of the platform and compares what they grant
// with the model: no key is sent twice, and every retry gets the outcome that was recorded.
func TestHoldersMatchModel(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceHolders(t, seed) })
		})
	}
}

func raceHolders(t *testing.T, seed uint64) {
	s := store.New()
	m := &model{sends: map[string]int{}, outcomes: map[string]string{}}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	// A channel serves as the lock, since waiting for a mutex would stop the clock of synctest.
	lock := make(chan struct{}, 1)
	holders := make([]*Holder, 3)
	holder := func(i int) *Holder {
		lock <- struct{}{}
		defer func() { <-lock }()
		if h := holders[i]; h != nil && !h.Lost() {
			return h
		}
		h, err := Open(ctx, newConfig(s, fmt.Sprintf("w%d-%d", i, time.Now().UnixNano())))
		if err != nil {
			return nil
		}
		go h.Run(ctx)
		holders[i] = h
		return h
	}
	var wg sync.WaitGroup
	for c := range 8 {
		random := rand.New(rand.NewPCG(seed, uint64(c)))
		wg.Go(func() {
			for n := range 40 {
				key := fmt.Sprint(random.IntN(25))
				h := holder(random.IntN(len(holders)))
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
		s.SetFaults(store.Faults{Down: faults.IntN(3) == 0, LostResponses: faults.IntN(3), AddedLatency: time.Duration(faults.IntN(3)) * 20 * time.Millisecond})
	}
	s.SetFaults(store.Faults{})
	wg.Wait()
	for key, n := range m.sends {
		if n > 1 {
			t.Errorf("key %s: got %d sends, want at most 1", key, n)
		}
	}
	m.checkSettled(ctx, t, holder)
}

// checkSettled lets each holder in turn take the shard over without competition: it must settle a key of its own, and
// know the outcome of every key that was settled before.
func (m *model) checkSettled(ctx context.Context, t *testing.T, holder func(int) *Holder) {
	t.Helper()
	for i := range 3 {
		h := holder(i)
		if h == nil {
			t.Fatalf("holder %d: got no shard, want it after the faults", i)
		}
		// A holder that was replaced while it was idle learns so from its next claim.
		probe := fmt.Sprint("probe", i)
		if got := h.Claim(ctx, newRow(probe, probe)); got.Status == NotHolder {
			h = holder(i)
		}
		key := fmt.Sprint("settled", i)
		if got := h.Claim(ctx, newRow(key, key)); got.Status != Granted {
			t.Errorf("holder %d: got %s, want %s", i, got.Status, Granted)
		}
		if got := h.Settle(ctx, key, key, Settled, []byte(key), 5*time.Second); got.Status != Done {
			t.Errorf("holder %d: got %s, want %s", i, got.Status, Done)
		}
		m.outcomes[key] = key
		for key, want := range m.outcomes {
			if got := h.Claim(ctx, newRow(key, "late")); got.Status != Done || string(got.Body) != want {
				t.Errorf("holder %d, key %s: got %s %q, want %s %q", i, key, got.Status, got.Body, Done, want)
			}
		}
	}
}

// request does what a coordinator does: claim, send, settle.
func (m *model) request(ctx context.Context, t *testing.T, h *Holder, key, id string, random *rand.Rand) {
	res := h.Claim(ctx, newRow(key, id))
	m.mu.Lock()
	if want, ok := m.outcomes[key]; ok && res.Status == Done && string(res.Body) != want {
		t.Errorf("key %s: got outcome %q, want %q", key, res.Body, want)
	}
	m.mu.Unlock()
	if res.Status != Granted {
		return
	}
	if random.IntN(5) == 0 {
		// Nothing was sent: the claim is voided.
		h.Settle(ctx, key, id, Void, nil, time.Second)
		return
	}
	m.mu.Lock()
	m.sends[key]++
	m.mu.Unlock()
	time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	if got := h.Settle(ctx, key, id, Settled, []byte(id), 5*time.Second); got.Status == Done {
		m.mu.Lock()
		m.outcomes[key] = id
		m.mu.Unlock()
	}
}
