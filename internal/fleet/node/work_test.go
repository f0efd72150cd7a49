package node

import (
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

func TestCancelOfRestartedOwnerIsInconclusive(t *testing.T) {
	tests := []struct {
		name           string
		sent           bool
		uptime         time.Duration
		sinceStart     time.Duration
		wantConclusive bool
	}{
		{"long uptime, not sent", false, time.Hour, time.Second, true},
		{"long uptime, sent", true, time.Hour, time.Second, true},
		{"started since", false, 500 * time.Millisecond, time.Second, false},
		{"started at about that time", false, time.Second, time.Second, false},
		{"started since, and sent again", true, 500 * time.Millisecond, time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := interpretCancel(&peerpb.CancelReply{Sent: tt.sent, UpUs: tt.uptime.Microseconds()}, tt.sinceStart)
			if conclusive := err == nil; conclusive != tt.wantConclusive || (conclusive && got != tt.sent) {
				t.Errorf("got sent %t, error %v, want conclusive %t", got, err, tt.wantConclusive)
			}
		})
	}
}
