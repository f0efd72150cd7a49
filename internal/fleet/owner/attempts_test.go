package owner

import (
	"testing"
)

func TestCancelHasASureAnswer(t *testing.T) {
	tests := []struct {
		name     string
		before   func(*attempts)
		wantSent bool
		// wantSend tells whether the attempt may still be sent after the cancel.
		wantSend bool
	}{
		{"not yet come", func(*attempts) {}, false, false},
		{"waiting", func(a *attempts) { a.enter(start, "x", start, func() {}) }, false, false},
		{"sent", func(a *attempts) { a.enter(start, "x", start, func() {}); a.send("x") }, true, false},
		{"sent and surely not received", func(a *attempts) { a.enter(start, "x", start, func() {}); a.send("x"); a.unsent("x") }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAttempts()
			tt.before(a)
			if got := a.cancel(start, "x"); got != tt.wantSent {
				t.Errorf("got sent %t, want %t", got, tt.wantSent)
			}
			a.enter(start, "x", start, func() {})
			if got := a.send("x"); got != tt.wantSend {
				t.Errorf("got a send %t after the cancel, want %t", got, tt.wantSend)
			}
		})
	}
}

func TestAttemptsAreForgottenInTime(t *testing.T) {
	a := newAttempts()
	a.enter(start, "x", start, func() {})
	later := start.Add(2 * attemptMemory)
	a.enter(start, "long", later, func() {})
	a.send("long")
	a.enter(later, "y", later, func() {})
	if _, ok := a.known["x"]; ok {
		t.Error("got an old attempt still known")
	}
	if !a.cancel(later, "long") {
		t.Error("got not sent for one that was sent and whose deadline has not passed")
	}
}
