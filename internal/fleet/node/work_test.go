package node

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

func TestCancelOfARestartedOwnerSettlesNothing(t *testing.T) {
	tests := []struct {
		name     string
		sent     bool
		up       time.Duration
		since    time.Duration
		wantSure bool
	}{
		{"up for long, not sent", false, time.Hour, time.Second, true},
		{"up for long, sent", true, time.Hour, time.Second, true},
		{"started since", false, 500 * time.Millisecond, time.Second, false},
		{"started just about then", false, time.Second, time.Second, false},
		{"started since, and was sent to again", true, 500 * time.Millisecond, time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := answeredCancel(&peerpb.CancelReply{Sent: tt.sent, UpUs: tt.up.Microseconds()}, tt.since)
			if sure := err == nil; sure != tt.wantSure || (sure && got != tt.sent) {
				t.Errorf("got sent %t, %v, want sure %t", got, err, tt.wantSure)
			}
		})
	}
}
