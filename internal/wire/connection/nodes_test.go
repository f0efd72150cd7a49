package connection

import (
	"testing"
	"time"
)

// TestLostConnectionIsReplacedOnce covers calls over a connection that find out one after the other that it is lost, while a new one is
// in use already.
func TestLostConnectionIsReplacedOnce(t *testing.T) {
	const address = "127.0.0.1:1"
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	n := NewNodes()
	t.Cleanup(n.Close)
	first, err := n.Conn(start, address)
	if err != nil {
		t.Fatal(err)
	}
	n.Discard(start, address)
	second, err := n.Conn(start.Add(300*time.Millisecond), address)
	if err != nil {
		t.Fatal(err)
	}
	if second == first {
		t.Fatal("got the discarded connection again, want a new one")
	}
	n.Discard(start.Add(200*time.Millisecond), address)
	if got, _ := n.Conn(start.Add(400*time.Millisecond), address); got != second {
		t.Error("got a third connection after a call over the first one has failed, want the second")
	}
	n.Discard(start.Add(500*time.Millisecond), address)
	if got, _ := n.Conn(start.Add(600*time.Millisecond), address); got == second {
		t.Error("got the second connection after a call over it has failed, want a new one")
	}
}
