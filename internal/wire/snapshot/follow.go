package snapshot

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot/snapshotpb"
)

const (
	// heartbeatInterval is how often a relay sends a message to each follower, several times within the follower's
	// heartbeat timeout.
	heartbeatInterval = 300 * time.Millisecond
	// firstMessageTimeout bounds the time until a relay's first message: a connection, and lists of some 100 KB.
	firstMessageTimeout = 600 * time.Millisecond
	// maxFollowedAge is the age of a view from which no node follows it.
	maxFollowedAge = 3 * time.Second
	// followerBuffer is how many updates may be queued for a slow follower before it is disconnected: all targets of a
	// large fleet.
	followerBuffer = 4096
)

// maxMessageEvents bounds the events of one message: some 100 KB.
const maxMessageEvents = 512

// Update is one message to followers: complete lists, or events.
type Update struct {
	Lists  map[string]object.List
	Events []object.Event
}

// Broadcaster passes updates on to followers; the zero value has none.
type Broadcaster struct {
	mu        sync.Mutex
	followers map[chan Update]bool
}

// Publish sends an update to every follower; a follower that does not keep up is disconnected.
func (b *Broadcaster) Publish(u Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for ch := range b.followers {
		select {
		case ch <- u:
		default:
			delete(b.followers, ch)
			close(ch)
		}
	}
}

// Subscribe returns a channel of the updates from now on; it is closed when the follower is disconnected.
func (b *Broadcaster) Subscribe() chan Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.followers == nil {
		b.followers = map[chan Update]bool{}
	}
	ch := make(chan Update, followerBuffer)
	b.followers[ch] = true
	return ch
}

// Unsubscribe ends a subscription.
func (b *Broadcaster) Unsubscribe(ch chan Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.followers[ch] {
		delete(b.followers, ch)
		close(ch)
	}
}

// Close disconnects every follower.
func (b *Broadcaster) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for ch := range b.followers {
		delete(b.followers, ch)
		close(ch)
	}
}

// Follow sends the age of this node's view, its lists and then their changes.
func (s server) Follow(_ *snapshotpb.Request, out grpc.ServerStreamingServer[snapshotpb.Update]) error {
	if age := s.source.Staleness(); age > maxFollowedAge {
		return status.Errorf(codes.Unavailable, "view of the store is %s old", age.Round(time.Millisecond))
	}
	lists, updates, unsubscribe := s.source.Subscribe()
	defer unsubscribe()
	// A follower that finds the view too old leaves before the lists, which may be large, have been sent.
	if err := out.Send(&snapshotpb.Update{AgeUs: s.source.Staleness().Microseconds()}); err != nil {
		return err
	}
	if err := out.Send(&snapshotpb.Update{Lists: toLists(lists), AgeUs: s.source.Staleness().Microseconds()}); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	send := func(m *snapshotpb.Update) error {
		m.AgeUs = s.source.Staleness().Microseconds()
		return out.Send(m)
	}
	for {
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case u, ok := <-updates:
			if !ok {
				return merry.New("follower is cut off")
			}
			for _, u := range coalesce(u, updates) {
				if err := send(toUpdate(u)); err != nil {
					return err
				}
			}
		case <-heartbeat.C:
			if err := send(&snapshotpb.Update{}); err != nil {
				return err
			}
		}
	}
}

// coalesce adds the events that are already queued to those of u. Lists end it and are returned as a second update.
//
// When thousands of targets join at the same moment, a message each would cost every follower a wake-up, and
// disconnect those that cannot keep up.
func coalesce(u Update, updates <-chan Update) []Update {
	for u.Lists == nil && len(u.Events) < maxMessageEvents {
		select {
		case next, ok := <-updates:
			if !ok {
				return []Update{u}
			}
			if next.Lists != nil {
				return []Update{u, next}
			}
			u.Events = append(u.Events[:len(u.Events):len(u.Events)], next.Events...)
		default:
			return []Update{u}
		}
	}
	return []Update{u}
}

func toUpdate(u Update) *snapshotpb.Update {
	if u.Lists != nil {
		return &snapshotpb.Update{Lists: toLists(u.Lists)}
	}
	m := &snapshotpb.Update{}
	for _, e := range u.Events {
		m.Events = append(m.Events, &snapshotpb.Event{Kind: e.Object.Kind, Deleted: e.Type == object.Delete, Object: toObject(e.Object)})
	}
	return m
}

// Follow calls onUpdate for every message of the node at an address until the stream ends or onUpdate fails.
func Follow(ctx context.Context, address string, onUpdate func(u Update, age time.Duration) error) error {
	conn, err := connection.DialNode(address, grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return merry.Prependf(err, "follow %s", address)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	firstMessage := time.AfterFunc(firstMessageTimeout, cancel)
	defer firstMessage.Stop()
	stream, err := snapshotpb.NewSnapshotClient(conn).Follow(ctx, &snapshotpb.Request{})
	if err != nil {
		return merry.Prependf(err, "follow %s", address)
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return merry.Prependf(err, "follow %s", address)
		}
		firstMessage.Stop()
		if err := onUpdate(fromUpdate(m), time.Duration(m.AgeUs)*time.Microsecond); err != nil {
			return merry.Prependf(err, "follow %s", address)
		}
	}
}

func fromUpdate(m *snapshotpb.Update) Update {
	var u Update
	if m.Lists != nil {
		u.Lists = fromLists(m.Lists)
	}
	for _, e := range m.Events {
		if e.Object == nil {
			continue
		}
		event := object.Event{Type: object.Put, Object: fromObject(e.Kind, e.Object)}
		if e.Deleted {
			event.Type = object.Delete
		}
		u.Events = append(u.Events, event)
	}
	return u
}
