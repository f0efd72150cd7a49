package snapshot

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot/snapshotpb"
)

const (
	// beatEvery is how often a follower hears that its relay is alive, several times in the silence that it bears.
	beatEvery = 300 * time.Millisecond
	// firstTimeout is how long a relay may take to its first message: a connection, and lists of some 100 KB.
	firstTimeout = 600 * time.Millisecond
	// waiting is how many changes may wait for a slow follower before it is cut off: all targets of a large fleet.
	waiting = 4096
)

// maxEvents bounds the events of one message: some 100 KB.
const maxEvents = 512

// Update is one message to followers: whole lists, or events.
type Update struct {
	Lists  map[string]object.List
	Events []object.Event
}

// Broadcaster passes changes on to followers; the zero value has none.
type Broadcaster struct {
	mu   sync.Mutex
	subs map[chan Update]bool
}

// Publish gives every follower a change; one that does not keep up is cut off.
func (h *Broadcaster) Publish(c Update) {
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
func (h *Broadcaster) Subscribe() chan Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.subs == nil {
		h.subs = map[chan Update]bool{}
	}
	ch := make(chan Update, waiting)
	h.subs[ch] = true
	return ch
}

// Unsubscribe ends a subscription.
func (h *Broadcaster) Unsubscribe(ch chan Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.subs[ch] {
		delete(h.subs, ch)
		close(ch)
	}
}

// Close cuts every follower off.
func (h *Broadcaster) Close() {
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
	if err := out.Send(&snapshotpb.Update{Lists: toLists(lists), AgeUs: s.source.Staleness().Microseconds()}); err != nil {
		return err
	}
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	send := func(m *snapshotpb.Update) error {
		m.AgeUs = s.source.Staleness().Microseconds()
		return out.Send(m)
	}
	for {
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case c, ok := <-changes:
			if !ok {
				return merry.New("follower is cut off")
			}
			for _, c := range gather(c, changes) {
				if err := send(toUpdate(c)); err != nil {
					return err
				}
			}
		case <-beat.C:
			if err := send(&snapshotpb.Update{}); err != nil {
				return err
			}
		}
	}
}

// gather adds the events that wait already to those of a change; lists among them end it, as a second one.
//
// It answers thousands of targets that join in one moment: a message each would cost every follower a wake-up, and cut
// off those that cannot keep up.
func gather(c Update, changes <-chan Update) []Update {
	for c.Lists == nil && len(c.Events) < maxEvents {
		select {
		case next, ok := <-changes:
			if !ok {
				return []Update{c}
			}
			if next.Lists != nil {
				return []Update{c, next}
			}
			c.Events = append(c.Events[:len(c.Events):len(c.Events)], next.Events...)
		default:
			return []Update{c}
		}
	}
	return []Update{c}
}

func toUpdate(c Update) *snapshotpb.Update {
	if c.Lists != nil {
		return &snapshotpb.Update{Lists: toLists(c.Lists)}
	}
	m := &snapshotpb.Update{}
	for _, e := range c.Events {
		o := e.Object
		m.Events = append(m.Events, &snapshotpb.Event{
			Kind: o.Kind, Deleted: e.Type == object.Delete, Object: &snapshotpb.Object{Name: o.Name, Version: o.Version, Value: o.Value},
		})
	}
	return m
}

// Follow calls on for every message of the node at an address until the stream ends or on gives an error.
func Follow(ctx context.Context, address string, on func(c Update, age time.Duration) error) error {
	conn, err := connection.DialNode(address, grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBytes)))
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

func fromUpdate(m *snapshotpb.Update) Update {
	var c Update
	if m.Lists != nil {
		c.Lists = fromLists(m.Lists)
	}
	for _, e := range m.Events {
		if e.Object == nil {
			continue
		}
		event := object.Event{Type: object.Put, Object: object.Object{Kind: e.Kind, Name: e.Object.Name, Version: e.Object.Version, Value: e.Object.Value}}
		if e.Deleted {
			event.Type = object.Delete
		}
		c.Events = append(c.Events, event)
	}
	return c
}
