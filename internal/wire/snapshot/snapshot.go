package snapshot

import (
	"context"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/link"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot/snapshotpb"
)

const (
	// readTimeout bounds one question: a connection, and some megabytes over a link of ten megabits.
	readTimeout = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
	// maxBytes bounds one answer: a configuration of the store's largest object, and the entries of a large fleet.
	maxBytes = 16 << 20
)

// Source gives the lists that a node has read, by kind.
type Source func() map[string]object.List

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
	out := &snapshotpb.Lists{}
	for kind, l := range s.source() {
		m := &snapshotpb.List{Kind: kind, Version: l.Version}
		for _, o := range l.Items {
			m.Objects = append(m.Objects, &snapshotpb.Object{Name: o.Name, Version: o.Version, Value: o.Value})
		}
		out.Lists = append(out.Lists, m)
	}
	return out, nil
}

// Read asks the node at an address for its snapshot.
func Read(ctx context.Context, address string) (map[string]object.List, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	dialer := link.Dialer(dialTimeout)
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBytes)),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) }),
	)
	if err != nil {
		return nil, merry.Prependf(err, "snapshot of %s", address)
	}
	defer conn.Close()
	m, err := snapshotpb.NewSnapshotClient(conn).Read(ctx, &snapshotpb.Request{})
	if err != nil {
		return nil, merry.Prependf(err, "snapshot of %s", address)
	}
	lists := map[string]object.List{}
	for _, l := range m.Lists {
		list := object.List{Version: l.Version}
		for _, o := range l.Objects {
			list.Items = append(list.Items, object.Object{Kind: l.Kind, Name: o.Name, Version: o.Version, Value: o.Value})
		}
		lists[l.Kind] = list
	}
	return lists, nil
}
