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

// The types of follow events.
const (
	followPart    = "part"
	followOutcome = "outcome"
	followMissing = "missing"
)

// ErrUnknownRequest is returned if no reachable node knows the request.
var ErrUnknownRequest = errors.New("request is not known")

// FollowRequest calls handle with each event of a request that has a sequence number above after, and returns the
// request's outcome. The request may be coordinated by any node.
func (n *Node) FollowRequest(ctx context.Context, id string, after uint64, handle func(request.Event) error) (outcome.Record, error) {
	name, _, ok := request.ParseID(id)
	if !ok {
		return outcome.Record{}, ErrUnknownRequest
	}
	if name == n.Name() {
		log, ok := n.coordinator.Log(id)
		if !ok {
			return outcome.Record{}, ErrUnknownRequest
		}
		return log.Follow(ctx, after, handle)
	}
	m, ok := n.memberNotGone(name)
	if !ok {
		return outcome.Record{}, ErrUnknownRequest
	}
	return n.followPeer(ctx, m, id, after, handle)
}

func (n *Node) followPeer(ctx context.Context, m member.Member, id string, after uint64, handle func(request.Event) error) (outcome.Record, error) {
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

func (n *Node) followLocal(ctx context.Context, r *peerpb.FollowRequest, send func(*peerpb.FollowEvent) error) error {
	log, ok := n.coordinator.Log(r.Request)
	if !ok {
		return send(&peerpb.FollowEvent{Type: followMissing})
	}
	record, err := log.Follow(ctx, r.After, func(e request.Event) error {
		return send(&peerpb.FollowEvent{Type: followPart, N: e.Sequence, Data: e.Data})
	})
	if err != nil {
		return err
	}
	data, err := encodeRecord(record)
	if err != nil {
		return err
	}
	return send(&peerpb.FollowEvent{Type: followOutcome, Data: data})
}

// SetPartitioned makes this node's calls to its peers fail, or lets them through again; tests use it to partition
// the node.
func (n *Node) SetPartitioned(partitioned bool) { n.conns.SetPartitioned(partitioned) }
