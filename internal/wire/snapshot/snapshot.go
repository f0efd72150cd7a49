package snapshot

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot/snapshotpb"
)

const (
	// readTimeout bounds one question: a connection, and some megabytes over a link of ten megabits.
	readTimeout = 2 * time.Second
	// maxBytes bounds one answer: a configuration of the store's largest object, and the entries of a large fleet.
	maxBytes = 16 << 20
)

// Source is what a node has read of the store.
type Source interface {
	// Lists gives the lists by kind.
	Lists() map[string]object.List
	// Subscribe gives the lists and every change after them until leave is called.
	Subscribe() (lists map[string]object.List, changes <-chan Update, leave func())
	// Staleness is how long the store has not been heard.
	Staleness() time.Duration
}

type server struct {
	snapshotpb.UnimplementedSnapshotServer
	source Source
}

// Register serves snapshots to other nodes.
func Register(s *grpc.Server, source Source) {
	snapshotpb.RegisterSnapshotServer(s, server{source: source})
}

// Read gives what this node has read.
func (s server) Read(context.Context, *snapshotpb.Request) (*snapshotpb.Lists, error) {
	return toLists(s.source.Lists()), nil
}

func toLists(lists map[string]object.List) *snapshotpb.Lists {
	out := &snapshotpb.Lists{}
	for kind, l := range lists {
		m := &snapshotpb.List{Kind: kind, Version: l.Version}
		for _, o := range l.Items {
			m.Objects = append(m.Objects, &snapshotpb.Object{Name: o.Name, Version: o.Version, Value: o.Value})
		}
		out.Lists = append(out.Lists, m)
	}
	return out
}

// Read asks the node at an address for its snapshot.
func Read(ctx context.Context, address string) (map[string]object.List, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	conn, err := connection.DialNode(address, grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBytes)))
	if err != nil {
		return nil, merry.Prependf(err, "snapshot of %s", address)
	}
	defer conn.Close()
	m, err := snapshotpb.NewSnapshotClient(conn).Read(ctx, &snapshotpb.Request{})
	if err != nil {
		return nil, merry.Prependf(err, "snapshot of %s", address)
	}
	return fromLists(m), nil
}

func fromLists(m *snapshotpb.Lists) map[string]object.List {
	lists := map[string]object.List{}
	for _, l := range m.Lists {
		list := object.List{Version: l.Version}
		for _, o := range l.Objects {
			list.Items = append(list.Items, object.Object{Kind: l.Kind, Name: o.Name, Version: o.Version, Value: o.Value})
		}
		lists[l.Kind] = list
	}
	return lists
}
