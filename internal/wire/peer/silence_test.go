package peer

import (
	"testing"
	"time"
)

func TestSilence(t *testing.T) {
	tests := []struct {
		name string
		// heard and looked are the times of messages and of looks; after the last look the peer counts as silent or not.
		heard, looked []time.Duration
		want          bool
	}{
		{name: "shorter than the timeout", looked: []time.Duration{300, 600, 900, 1200, 1499}},
		{name: "as long as the timeout", looked: []time.Duration{300, 600, 900, 1200, 1500}, want: true},
		{name: "a message in between", heard: []time.Duration{100}, looked: []time.Duration{300, 600, 900, 1200, 1500}},
		{name: "silent after a message", heard: []time.Duration{100}, looked: []time.Duration{300, 600, 900, 1200, 1500, 1800}, want: true},
		{name: "looks that are a little late", looked: []time.Duration{590, 1180, 1770}, want: true},
		{name: "this process was paused", looked: []time.Duration{300, 5000}},
		{name: "silent after this process was paused", looked: []time.Duration{300, 5000, 5300, 5600, 5900}, want: true},
		{name: "a message as a pause ends", heard: []time.Duration{4990}, looked: []time.Duration{300, 5000, 5300, 5600, 5900}},
		{name: "silent after a message as a pause ended", heard: []time.Duration{4990}, looked: []time.Duration{300, 5000, 5300, 5600, 5900, 6200, 6500}, want: true},
		{name: "paused again and again", looked: []time.Duration{1000, 2000, 3000, 4000}},
		{name: "silent through many pauses", looked: []time.Duration{1000, 2000, 3000, 4000, 5000}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			began := time.Now()
			s := newSilence(began)
			got := false
			for _, looked := range tt.looked {
				for len(tt.heard) > 0 && tt.heard[0] < looked {
					s.hear(began.Add(tt.heard[0] * time.Millisecond))
					tt.heard = tt.heard[1:]
				}
				if got {
					t.Fatalf("got silent for too long before %d ms", looked)
				}
				got = s.look(began.Add(looked * time.Millisecond))
			}
			if got != tt.want {
				t.Errorf("got silent for too long: %t, want %t", got, tt.want)
			}
		})
	}
}
