package snapshot

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/link"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot/snapshotpb"
)

const (
	// beatEvery is how often a follower hears that its relay is alive, several times in the silence that it bears.
	beatEvery = 300 * time.Millisecond
	// firstTimeout is how long a relay may take to its first message: a connection, and lists of some 100 KB.
	firstTimeout = 600 * time.Millisecond
	// waiting is how many changes may wait for a slow follower before it is cut off.
	waiting = 1024
)

// Change is one message to followers: whole lists, or one event of a kind.
type Change struct {
	Lists map[string]object.List
	Kind  string
	Event object.Event
}

// Hub passes changes on to followers; the zero value has none.
type Hub struct {
	mu   sync.Mutex
	subs map[chan Change]bool
}

// Publish gives every follower a change; one that does not keep up is cut off.
func (h *Hub) Publish(c Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for ch := range h.subs {
		select {
		case ch <- c:
		default:
			delete(h.subs, ch)
			close(ch)
		}
	}
}

// Subscribe gives the changes from now on; the channel is closed when the follower is cut off.
func (h *Hub) Subscribe() chan Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.subs == nil {
		h.subs = map[chan Change]bool{}
	}
	ch := make(chan Change, waiting)
	h.subs[ch] = true
	return ch
}

// Leave ends a subscription.
func (h *Hub) Leave(ch chan Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.subs[ch] {
		delete(h.subs, ch)
		close(ch)
	}
}

// Close cuts every follower off.
func (h *Hub) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for ch := range h.subs {
		delete(h.subs, ch)
		close(ch)
	}
}

// Follow gives this node's lists and what changes in them.
func (s server) Follow(_ *snapshotpb.Request, out grpc.ServerStreamingServer[snapshotpb.Update]) error {
	lists, changes, leave := s.source.Subscribe()
	defer leave()
	if err := out.Send(&snapshotpb.Update{Lists: toLists(lists), AgeUs: s.source.Age().Microseconds()}); err != nil {
		return err
	}
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		m := &snapshotpb.Update{}
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case c, ok := <-changes:
			if !ok {
				return merry.New("follower is cut off")
			}
			m = toUpdate(c)
		case <-beat.C:
		}
		m.AgeUs = s.source.Age().Microseconds()
		if err := out.Send(m); err != nil {
			return err
		}
	}
}

func toUpdate(c Change) *snapshotpb.Update {
	if c.Lists != nil {
		return &snapshotpb.Update{Lists: toLists(c.Lists)}
	}
	o := c.Event.Object
	return &snapshotpb.Update{Event: &snapshotpb.Event{
		Kind: c.Kind, Deleted: c.Event.Type == object.Delete, Object: &snapshotpb.Object{Name: o.Name, Version: o.Version, Value: o.Value},
	}}
}

// Follow calls on for every message of the node at an address until the stream ends or on gives an error.
func Follow(ctx context.Context, address string, on func(c Change, age time.Duration) error) error {
	conn, err := link.Node(address, grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBytes)))
	if err != nil {
		return merry.Prependf(err, "follow %s", address)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := time.AfterFunc(firstTimeout, cancel)
	defer first.Stop()
	stream, err := snapshotpb.NewSnapshotClient(conn).Follow(ctx, &snapshotpb.Request{})
	if err != nil {
		return merry.Prependf(err, "follow %s", address)
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return merry.Prependf(err, "follow %s", address)
		}
		first.Stop()
		if err := on(fromUpdate(m), time.Duration(m.AgeUs)*time.Microsecond); err != nil {
			return merry.Prependf(err, "follow %s", address)
		}
	}
}

func fromUpdate(m *snapshotpb.Update) Change {
	var c Change
	if m.Lists != nil {
		c.Lists = fromLists(m.Lists)
	}
	if e := m.Event; e != nil && e.Object != nil {
		c.Kind = e.Kind
		c.Event = object.Event{Type: object.Put, Object: object.Object{Kind: e.Kind, Name: e.Object.Name, Version: e.Object.Version, Value: e.Object.Value}}
		if e.Deleted {
			c.Event.Type = object.Delete
		}
	}
	return c
}
