package permit

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit/permitpb"
)

// fullKeepers are keepers that reject each claim; each answer takes some time by their clock.
type fullKeepers struct {
	permitpb.UnimplementedPermitServer
	answerTime time.Duration
	mu         sync.Mutex
	now        time.Time
	asked      int
}

func (k *fullKeepers) Reserve(context.Context, *permitpb.Claim) (*permitpb.Decision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now = k.now.Add(k.answerTime)
	k.asked++
	return &permitpb.Decision{State: string(stateRejected), RetryUs: time.Second.Microseconds()}, nil
}

func (k *fullKeepers) time() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

type noMeter struct{}

func (noMeter) CountPermit(string, string) {}

// newTestClient returns a client of three keepers.
func newTestClient(t *testing.T, k *fullKeepers) *Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	permitpb.RegisterPermitServer(s, k)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	nodes := []registry.Node{}
	for i := range maxKeepers {
		nodes = append(nodes, registry.Node{Name: fmt.Sprint("node-", i), Address: listener.Addr().String()})
	}
	r := registry.New().WithNodes(nodes)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := NewClient(ClientConfig{
		Self: "self", Registry: func() *registry.Registry { return r }, Notices: notice.NewKeeper(notice.KeeperConfig{}), Log: log, Now: k.time, Meter: noMeter{},
	})
	t.Cleanup(c.Close)
	return c
}

// TestReserveEndsWithTheTimeOfTheClaim covers keepers that have no room and take a while to answer: a claim that could wait is put
// to no further keeper once its time is over, one that could not is put to all.
func TestReserveEndsWithTheTimeOfTheClaim(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name       string
		wait       time.Duration
		answerTime time.Duration
		want       int
	}{
		{"fast keepers", 400 * time.Millisecond, time.Millisecond, 3},
		{"late keepers", 400 * time.Millisecond, 250 * time.Millisecond, 2},
		{"no time to wait", 0, 250 * time.Millisecond, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := &fullKeepers{answerTime: tt.answerTime, now: start}
			c := newTestClient(t, k)
			claim := ratelimit.Claim{ID: "r", Targets: []notice.Target{{ID: "t"}}, Worth: 1, StartBy: start.Add(tt.wait), ReturnBy: start.Add(time.Second)}
			r := c.Reserve(context.Background(), ratelimit.Pool{Service: "s"}, claim)
			if _, ok := r.Decision.(ratelimit.Rejected); !ok {
				t.Errorf("got decision %#v, want a rejection", r.Decision)
			}
			if k.asked != tt.want {
				t.Errorf("got %d keepers asked, want %d", k.asked, tt.want)
			}
		})
	}
}
