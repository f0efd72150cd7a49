package owner

import (
	"testing"
)

func TestCancelReportsWhetherAttemptWasSent(t *testing.T) {
	tests := []struct {
		name     string
		before   func(*attempts)
		wantSent bool
		// wantSend is whether the attempt may still be sent after the cancel.
		wantSend bool
	}{
		{"not arrived", func(*attempts) {}, false, false},
		{"waiting", func(a *attempts) { a.register(start, "x", start, func() {}) }, false, false},
		{"sent", func(a *attempts) { a.register(start, "x", start, func() {}); a.markSent("x") }, true, false},
		{"sent and not received", func(a *attempts) { a.register(start, "x", start, func() {}); a.markSent("x"); a.markNotSent("x") }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAttempts()
			tt.before(a)
			if got := a.cancel(start, "x"); got != tt.wantSent {
				t.Errorf("got sent %t, want %t", got, tt.wantSent)
			}
			a.register(start, "x", start, func() {})
			if got := a.markSent("x"); got != tt.wantSend {
				t.Errorf("got send allowed %t after the cancel, want %t", got, tt.wantSend)
			}
		})
	}
}

func TestAttemptsExpire(t *testing.T) {
	a := newAttempts()
	a.register(start, "x", start, func() {})
	later := start.Add(2 * attemptRetention)
	a.register(start, "long", later, func() {})
	a.markSent("long")
	a.register(later, "y", later, func() {})
	if _, ok := a.byID["x"]; ok {
		t.Error("got an expired attempt still recorded, want it removed")
	}
	if !a.cancel(later, "long") {
		t.Error("got not sent for a sent attempt whose deadline has not passed, want sent")
	}
}
