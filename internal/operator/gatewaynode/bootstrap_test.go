package gatewaynode

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot/snapshotpb"
)

// fakePeer is another node with one list of each kind.
type fakePeer struct {
	versions map[string]object.Version
	delay    time.Duration
	// silent makes the peer send its age and nothing more.
	silent bool
}

func (p fakePeer) Lists() map[string]object.List {
	time.Sleep(p.delay)
	lists := map[string]object.List{}
	for kind, v := range p.versions {
		lists[kind] = object.List{Version: v}
	}
	return lists
}

func (fakePeer) Subscribe() (map[string]object.List, <-chan snapshot.Update, func()) {
	return nil, nil, func() {}
}

func (fakePeer) Staleness() time.Duration { return 0 }

// agePeer is a node that falls silent once it has told the age of its view.
type agePeer struct {
	snapshotpb.UnimplementedSnapshotServer
}

func (agePeer) Follow(_ *snapshotpb.Request, out grpc.ServerStreamingServer[snapshotpb.Update]) error {
	if err := out.Send(&snapshotpb.Update{}); err != nil {
		return err
	}
	<-out.Context().Done()
	return out.Context().Err()
}

func (p fakePeer) serve(t *testing.T) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	if p.silent {
		snapshotpb.RegisterSnapshotServer(s, agePeer{})
	} else {
		snapshot.Register(s, p)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Stop)
	return ln.Addr().String()
}

// TestStartingNodeTakesNewestLists covers a node that starts while the store is down, beside one that has been cut off for
// long: what has left or was withdrawn meanwhile stays out of use.
func TestStartingNodeTakesNewestLists(t *testing.T) {
	const noPeer = "127.0.0.1:1"
	newer, other := object.NewVersion(1, 90), object.NewVersion(2, 10)
	tests := []struct {
		name  string
		peers []fakePeer
		want  map[string]object.Version
	}{
		{name: "none answers"},
		{name: "oldest first", peers: []fakePeer{{versions: map[string]object.Version{"config": 10}}, {versions: map[string]object.Version{"config": 20}}}, want: map[string]object.Version{"config": 20}},
		{name: "kinds of several nodes", peers: []fakePeer{{versions: map[string]object.Version{"config": 30, "servers": 10}}, {versions: map[string]object.Version{"config": 20, "servers": 20}}}, want: map[string]object.Version{"config": 30, "servers": 20}},
		{name: "a later era goes before", peers: []fakePeer{{versions: map[string]object.Version{"config": newer}}, {versions: map[string]object.Version{"config": other}}}, want: map[string]object.Version{"config": other}},
		{name: "one without lists", peers: []fakePeer{{}, {versions: map[string]object.Version{"config": 20}, delay: 50 * time.Millisecond}}, want: map[string]object.Version{"config": 20}},
		{name: "one stays silent", peers: []fakePeer{{versions: map[string]object.Version{"config": 10}}, {versions: map[string]object.Version{"config": 20}, delay: 3 * time.Second}}, want: map[string]object.Version{"config": 10}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seeds := []string{noPeer}
			for _, p := range tt.peers {
				seeds = append(seeds, p.serve(t))
			}
			log := logrus.New()
			// A read that is given up may log after the test.
			log.SetOutput(io.Discard)
			n := &Node{cfg: Config{Settings: settings.Gateway{Seeds: seeds}, Log: log}}
			started := time.Now()
			got := n.readPeers(t.Context())
			if took := time.Since(started); took > time.Second {
				t.Errorf("got lists after %s, want them within a second", took)
			}
			if len(got) != len(tt.want) {
				t.Errorf("got lists of %d kinds, want %d", len(got), len(tt.want))
			}
			for kind, want := range tt.want {
				if got[kind].Version != want {
					t.Errorf("got version %d of %s, want %d", got[kind].Version, kind, want)
				}
			}
		})
	}
}
