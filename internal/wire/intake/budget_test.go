package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)

var testLimits = Limits{Bytes: 32 << 20, Connections: 4, ReadTime: 2 * time.Second, StallTime: 2 * time.Second, Wait: 3 * time.Second}

// opened returns a budget with connections 1 to n, the first of which is the oldest, in a phase and with bytes that they hold.
func opened(n int, p Phase, held int64) *Budget {
	b := NewBudget(testLimits)
	for i := range n {
		id, at := ID(i+1), start.Add(time.Duration(i)*time.Millisecond)
		b.Open(at, id)
		b.SetPhase(at, id, p)
		b.grant(b.conns[id], held)
	}
	return b
}

// TestAcquire covers what clients that stop sending or reading may keep from others.
func TestAcquire(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		name   string
		budget *Budget
		use    Use
		n      int64
		after  time.Duration
		waited time.Duration
		want   Decision
	}{
		{"a request larger than the budget is granted alone", opened(1, Idle, 0), ForRequest, 64 * mb, 0, 0, Grant{}},
		{"and beside small ones", opened(3, Serving, smallBytes), ForRequest, 64 * mb, 0, 0, Grant{}},
		{"large requests leave room for responses", opened(3, Serving, 7*mb), ForRequest, 4 * mb, 0, 0, Wait{}},
		{"which responses use", opened(3, Serving, 7*mb), ForResponse, 4 * mb, 0, 0, Grant{}},
		{"and for small requests", opened(3, Serving, 10*mb), ForRequest, smallBytes, 0, 0, Grant{}},
		{"bodies that arrive keep their room", opened(3, Reading, 8*mb), ForRequest, 4 * mb, time.Second, 0, Wait{}},
		{"the oldest that does not arrive gives way", opened(3, Reading, 8*mb), ForRequest, 4 * mb, 3 * time.Second, 0, Evict{1, Reading}},
		{"a response that is not read gives way", opened(3, Writing, 10*mb), ForResponse, 4 * mb, 3 * time.Second, 0, Evict{1, Writing}},
		{"what runs does not give way", opened(3, Serving, 8*mb), ForRequest, 4 * mb, time.Minute, time.Second, Wait{}},
		{"the one that waits is rejected", opened(3, Serving, 8*mb), ForRequest, 4 * mb, time.Minute, 3 * time.Second, Reject{}},
		{"a response is not rejected", opened(3, Serving, 10*mb), ForResponse, 4 * mb, time.Minute, 3 * time.Second, Wait{}},
		{"nor granted while a smaller one runs", opened(3, Serving, 10*mb).with(5, Serving, 1), ForResponse, 4 * mb, time.Minute, 3 * time.Second, Wait{}},
		{"the largest is granted if all wait for each other", opened(3, Serving, 10*mb).waiting().with(9, Serving, 11*mb), ForResponse, 4 * mb, 0, 0, Grant{}},
		{"but not a smaller one", opened(3, Serving, 10*mb).waiting().with(9, Serving, 9*mb), ForResponse, 4 * mb, time.Minute, 3 * time.Second, Wait{}},
		{"a response waits for what will be freed", opened(3, Writing, 10*mb), ForResponse, 4 * mb, time.Second, 3 * time.Second, Wait{}},
		{"those that hold less than is needed keep it", opened(3, Serving, 8*mb).with(5, Reading, 1000), ForRequest, 4 * mb, time.Minute, 0, Wait{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start.Add(c.after)
			if c.budget.conns[9] == nil {
				c.budget.with(9, Opened, 0)
			}
			if got := c.budget.Acquire(now, 9, c.n, c.use, now.Add(-c.waited)); got != c.want {
				t.Errorf("got %#v, want %#v", got, c.want)
			}
		})
	}
}

// waiting makes all connections wait for bytes.
func (b *Budget) waiting() *Budget {
	for _, c := range b.conns {
		c.isWaiting = true
	}
	return b
}

// with adds a connection that has just been opened.
func (b *Budget) with(id ID, p Phase, held int64) *Budget {
	b.conns[id] = &state{phase: p, since: start}
	b.grant(b.conns[id], held)
	return b
}

// TestOpen covers whose place a new connection takes.
func TestOpen(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget *Budget
		after  time.Duration
		want   Decision
	}{
		{"room", opened(3, Serving, 0), 0, Grant{}},
		{"all have just been opened", opened(4, Opened, 0), time.Second, Reject{}},
		{"the oldest that says nothing", opened(4, Opened, 0), 3 * time.Second, Evict{1, Opened}},
		{"one that says nothing before one that has been served", opened(3, Idle, 0).with(4, Opened, 0), 3 * time.Second, Evict{4, Opened}},
		{"the oldest that is idle", opened(4, Idle, 0), 3 * time.Second, Evict{1, Idle}},
		{"none whose request runs", opened(4, Serving, 0), time.Hour, Reject{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.budget.Open(start.Add(c.after), 9); got != c.want {
				t.Errorf("got %#v, want %#v", got, c.want)
			}
		})
	}
}

// TestEvictedConnectionGetsNothing covers a request that becomes complete while its connection is closed for another: it must not run.
func TestEvictedConnectionGetsNothing(t *testing.T) {
	b := opened(4, Reading, 0)
	now := start.Add(time.Minute)
	b.Open(now, 9)
	if b.SetPhase(now, 1, Serving) {
		t.Error("got a running request on a connection that is being closed")
	}
	if got, want := b.Acquire(now, 1, 1, ForRequest, now), (Reject{}); got != want {
		t.Errorf("got %#v, want %#v", got, want)
	}
	b.Close(1)
	if got, want := b.Connections(), 4; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// TestBudgetKeepsItsSums checks for any sequence of calls that the sums are those of the connections, that requests that run are never
// evicted, and that the bounds hold but for one connection beyond its share.
func TestBudgetKeepsItsSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBudget(testLimits), start
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := ID(rapid.IntRange(1, 8).Draw(t, "id"))
			var d Decision
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				if b.conns[id] == nil {
					d = b.Open(now, id)
				}
			case 1:
				d = b.Acquire(now, id, int64(rapid.IntRange(1, 16<<20).Draw(t, "n")), ForRequest, now.Add(-time.Minute))
			case 2:
				b.Release(id, int64(rapid.IntRange(1, 16<<20).Draw(t, "n")))
			case 3:
				b.SetPhase(now, id, rapid.SampledFrom([]Phase{Idle, Reading, Serving, Writing}).Draw(t, "phase"))
			default:
				b.Close(id)
			}
			if e, ok := d.(Evict); ok && e.Phase == Serving {
				t.Fatal("evicted a request that runs")
			}
			var held, largest, ending int64
			open := 0
			for _, c := range b.conns {
				held += c.held
				largest = max(largest, c.held)
				if c.isEnding {
					ending += c.held
				} else {
					open++
				}
			}
			if held != b.held || ending != b.endingBytes || len(b.conns)-open != b.endingConns {
				t.Fatalf("got sums %d, %d, %d, want %d, %d, %d", b.held, b.endingBytes, b.endingConns, held, ending, len(b.conns)-open)
			}
			if open > testLimits.Connections || held-largest > testLimits.Bytes {
				t.Fatalf("got %d connections and %d bytes beside the largest, want at most %d and %d", open, held-largest, testLimits.Connections, testLimits.Bytes)
			}
		}
	})
}
