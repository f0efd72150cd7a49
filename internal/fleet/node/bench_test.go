package node

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

const benchDatacentres = 8

// benchNode returns an idle node in a fleet of the given size.
func benchNode(b *testing.B, members, targets int) *Node {
	b.Helper()
	s := settings.Default()
	s.Name, s.Datacentre = "n-0", "dc-0"
	s.Peer.Address = "127.0.0.1:0"
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := New(Config{Settings: s, Log: log, Now: time.Now})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = n.cfg.Listener.Close() })
	var rows []member.Member
	for i := range members {
		rows = append(rows, member.Member{Name: fmt.Sprintf("n-%d", i), Generation: 1, Datacentre: fmt.Sprintf("dc-%d", i%benchDatacentres), PeerAddress: "10.0.0.1:8100", CallerAddress: "10.0.0.1:8000", State: member.Live})
	}
	n.table.Store(member.NewTable(rows))
	set := release.NewSet()
	for i := range benchDatacentres {
		set.Add(datacentre.Datacentre{Name: fmt.Sprintf("dc-%d", i)}.WithDefaults())
	}
	p := pool.Pool{Name: "p"}
	for i := range targets {
		p.Targets = append(p.Targets, pool.Target{Name: fmt.Sprintf("t-%d", i), Address: "10.0.0.2:80", Datacentre: fmt.Sprintf("dc-%d", i%benchDatacentres)})
	}
	set.Add(p.WithDefaults())
	n.catalog.Store(newCatalog(&release.Release{Head: release.Head{Number: 1}, Set: set}))
	return n
}

// BenchmarkRebuildRoutes measures the cost of one change of the members, the release or the leaving VMs on each node.
func BenchmarkRebuildRoutes(b *testing.B) {
	for _, size := range []struct{ nodes, targets int }{{40, 100}, {115, 300}, {340, 910}} {
		b.Run(fmt.Sprintf("nodes=%d/targets=%d", size.nodes, size.targets), func(b *testing.B) {
			n := benchNode(b, size.nodes, size.targets)
			b.ReportAllocs()
			for b.Loop() {
				n.changes.Lock()
				n.rebuildRoutes()
				n.changes.Unlock()
			}
		})
	}
}

// BenchmarkDigest measures the cost of one heartbeat for its receiver, and its size without and with the full table.
func BenchmarkDigest(b *testing.B) {
	for _, members := range []int{40, 115, 340} {
		b.Run(fmt.Sprintf("nodes=%d", members), func(b *testing.B) {
			n := benchNode(b, members, 10)
			n.applyDigest(n.digest(nil))
			heartbeat := n.digest(nil)
			// The first reply to a different table holds the rows that changed recently, the next one all rows.
			changed := n.digest(&peerpb.DigestMessage{})
			full := n.digest(&peerpb.DigestMessage{})
			for b.Loop() {
				n.applyDigest(heartbeat)
				n.digest(heartbeat)
			}
			b.ReportMetric(float64(proto.Size(heartbeat)), "bytes")
			b.ReportMetric(float64(proto.Size(changed)), "changedbytes")
			b.ReportMetric(float64(proto.Size(full)), "tablebytes")
		})
	}
}
