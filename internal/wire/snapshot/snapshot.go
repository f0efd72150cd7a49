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
	// readTimeout bounds one request: a connection, and some megabytes over a ten-megabit link.
	readTimeout = 2 * time.Second
	// maxMessageBytes bounds one response: a configuration of the store's largest object, and the entries of a large
	// fleet.
	maxMessageBytes = 16 << 20
)

// Source is what a node has read from the store.
type Source interface {
	// Lists returns the lists by kind.
	Lists() map[string]object.List
	// Subscribe returns the lists and every update after them until unsubscribe is called.
	Subscribe() (lists map[string]object.List, updates <-chan Update, unsubscribe func())
	// Staleness returns the time since the node last heard from the store.
	Staleness() time.Duration
}

type server struct {
	snapshotpb.UnimplementedSnapshotServer
	source Source
}

// Register registers the snapshot service for other nodes.
func Register(s *grpc.Server, source Source) {
	snapshotpb.RegisterSnapshotServer(s, server{source: source})
}

// Read returns what this node has read.
func (s server) Read(context.Context, *snapshotpb.Request) (*snapshotpb.Lists, error) {
	return toLists(s.source.Lists()), nil
}

func toLists(lists map[string]object.List) *snapshotpb.Lists {
	out := &snapshotpb.Lists{}
	for kind, l := range lists {
		m := &snapshotpb.List{Kind: kind, Version: uint64(l.Version)}
		for _, o := range l.Items {
			m.Objects = append(m.Objects, toObject(o))
		}
		out.Lists = append(out.Lists, m)
	}
	return out
}

func toObject(o object.Object) *snapshotpb.Object {
	return &snapshotpb.Object{Name: o.Name, Version: uint64(o.Version), Value: o.Value, Status: o.Status, Created: o.Created}
}

func fromObject(kind string, o *snapshotpb.Object) object.Object {
	return object.Object{Kind: kind, Name: o.Name, Version: object.Version(o.Version), Value: o.Value, Status: o.Status, Created: o.Created}
}

// Read requests the snapshot of the node at an address.
func Read(ctx context.Context, address string) (map[string]object.List, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	conn, err := connection.DialNode(address, grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
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
		list := object.List{Version: object.Version(l.Version)}
		for _, o := range l.Objects {
			list.Items = append(list.Items, fromObject(l.Kind, o))
		}
		lists[l.Kind] = list
	}
	return lists
}
