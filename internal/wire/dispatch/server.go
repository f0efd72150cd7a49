package dispatch

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch/deskpb"
)

// state says what a message of a Produce call means.
type state string

const (
	queued  state = "queued"
	begun   state = "begun"
	alive   state = "alive"
	refused state = "refused"
	// A desk that declines takes no group at all now; another one may.
	declined state = "declined"
	done     state = "done"
)

// server answers other nodes.
type server struct {
	deskpb.UnimplementedDeskServer
	desk *Dispatcher
}

// Register serves the desk to other nodes.
func Register(s *grpc.Server, d *Dispatcher) { deskpb.RegisterDeskServer(s, server{desk: d}) }

// Produce queues a group of another node's request.
func (s server) Produce(m *deskpb.Group, out grpc.ServerStreamingServer[deskpb.Progress]) error {
	if err := s.desk.await(out.Context()); err != nil {
		return out.Send(&deskpb.Progress{State: string(declined)})
	}
	g := fromMessage(s.desk.cfg.Now(), m)
	// A caller that is gone shows in the stream's context.
	results, err := s.desk.Produce(out.Context(), g, Callbacks{
		OnQueued: func(wait time.Duration) {
			_ = out.Send(&deskpb.Progress{State: string(queued), WaitUs: wait.Microseconds()})
		},
		OnInputsFetched: func() { _ = out.Send(&deskpb.Progress{State: string(begun)}) },
		OnHeartbeat:     func() { _ = out.Send(&deskpb.Progress{State: string(alive)}) },
	})
	var r *batch.RefusedError
	if errors.As(err, &r) {
		return out.Send(&deskpb.Progress{State: string(refused), WaitUs: r.Wait.Microseconds(), Results: []*deskpb.Result{{Reason: r.Reason}}})
	}
	if err != nil {
		return err
	}
	p := &deskpb.Progress{State: string(done)}
	for _, x := range results {
		p.Results = append(p.Results, &deskpb.Result{Handle: x.Handle, Reason: string(x.Reason), Datacentre: x.Datacentre})
	}
	return out.Send(p)
}

// Free gives results up.
func (s server) Free(_ context.Context, m *deskpb.Handles) (*deskpb.Freed, error) {
	s.desk.Free(m.Handles)
	return &deskpb.Freed{}, nil
}

func toMessage(now time.Time, g batch.Group) *deskpb.Group {
	return &deskpb.Group{
		Service: g.Service, Shard: g.Datacentre, Request: g.Request, Stage: int32(g.Stage), Count: int32(g.Count), Key: g.PieceKey,
		Inputs: g.Inputs, Bytes: g.ResultBytes, Priority: int32(g.Priority), Home: g.PreferredDatacentre, Weight: g.TransferBytes,
		PromptUs: g.StartByObjective.Sub(now).Microseconds(), LastUs: g.StartByDeadline.Sub(now).Microseconds(), StayUs: g.PreferUntil.Sub(now).Microseconds(),
	}
}

func fromMessage(now time.Time, m *deskpb.Group) batch.Group {
	return batch.Group{
		Service: m.Service, Datacentre: m.Shard, Request: m.Request, Stage: int(m.Stage), Count: int(m.Count), PieceKey: m.Key,
		Inputs: m.Inputs, ResultBytes: m.Bytes, Priority: int(m.Priority), PreferredDatacentre: m.Home, TransferBytes: m.Weight,
		StartByObjective: now.Add(time.Duration(m.PromptUs) * time.Microsecond), StartByDeadline: now.Add(time.Duration(m.LastUs) * time.Microsecond), PreferUntil: now.Add(time.Duration(m.StayUs) * time.Microsecond),
	}
}
