package node

import (
	"context"
	"errors"
	"io"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// The types of a follow event.
const (
	followPart    = "part"
	followOutcome = "outcome"
	followMissing = "missing"
)

// ErrUnknownRequest says that no node that can be reached knows a request.
var ErrUnknownRequest = errors.New("request is not known")

// FollowRequest hands on the events of a request after number after, wherever it was entered, and gives its outcome.
func (n *Node) FollowRequest(ctx context.Context, id string, after uint64, handle func(request.Event) error) (outcome.Record, error) {
	name, _, ok := request.ParseID(id)
	if !ok {
		return outcome.Record{}, ErrUnknownRequest
	}
	if name == n.Name() {
		log, ok := n.entry.Log(id)
		if !ok {
			return outcome.Record{}, ErrUnknownRequest
		}
		return log.Follow(ctx, after, handle)
	}
	m, ok := n.liveMember(name)
	if !ok {
		return outcome.Record{}, ErrUnknownRequest
	}
	return n.followAt(ctx, m, id, after, handle)
}

func (n *Node) followAt(ctx context.Context, m member.Member, id string, after uint64, handle func(request.Event) error) (outcome.Record, error) {
	client, err := n.conns.Client(m.PeerAddress)
	if err != nil {
		return outcome.Record{}, err
	}
	stream, err := client.Follow(ctx, &peerpb.FollowRequest{Request: id, After: after})
	if err != nil {
		return outcome.Record{}, err
	}
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return outcome.Record{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return outcome.Record{}, err
		}
		switch e.Type {
		case followPart:
			if err := handle(request.Event{Sequence: e.N, Data: e.Data}); err != nil {
				return outcome.Record{}, err
			}
		case followOutcome:
			return decodeRecord(e.Data)
		default:
			return outcome.Record{}, ErrUnknownRequest
		}
	}
}

func (n *Node) followHere(ctx context.Context, r *peerpb.FollowRequest, send func(*peerpb.FollowEvent) error) error {
	log, ok := n.entry.Log(r.Request)
	if !ok {
		return send(&peerpb.FollowEvent{Type: followMissing})
	}
	end, err := log.Follow(ctx, r.After, func(e request.Event) error {
		return send(&peerpb.FollowEvent{Type: followPart, N: e.Sequence, Data: e.Data})
	})
	if err != nil {
		return err
	}
	data, err := encodeRecord(end)
	if err != nil {
		return err
	}
	return send(&peerpb.FollowEvent{Type: followOutcome, Data: data})
}

// SetPartitioned cuts this node's calls to its peers, for tests of a node that is cut off.
func (n *Node) SetPartitioned(cut bool) { n.conns.SetPartitioned(cut) }
