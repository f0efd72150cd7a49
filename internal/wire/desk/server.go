package desk

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/desk/deskpb"
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
	desk *Desk
}

// Register serves the desk to other nodes.
func Register(s *grpc.Server, d *Desk) { deskpb.RegisterDeskServer(s, server{desk: d}) }

// Produce queues a group of another node's request.
func (s server) Produce(m *deskpb.Group, out grpc.ServerStreamingServer[deskpb.Progress]) error {
	if err := s.desk.await(out.Context()); err != nil {
		return out.Send(&deskpb.Progress{State: string(declined)})
	}
	g := fromMessage(s.desk.cfg.Now(), m)
	// A caller that is gone shows in the stream's context.
	results, err := s.desk.Produce(out.Context(), g, Notice{
		Queued: func(wait time.Duration) {
			_ = out.Send(&deskpb.Progress{State: string(queued), WaitUs: wait.Microseconds()})
		},
		Begun: func() { _ = out.Send(&deskpb.Progress{State: string(begun)}) },
		Alive: func() { _ = out.Send(&deskpb.Progress{State: string(alive)}) },
	})
	var r *batch.Refused
	if errors.As(err, &r) {
		return out.Send(&deskpb.Progress{State: string(refused), WaitUs: r.Wait.Microseconds(), Results: []*deskpb.Result{{Reason: r.Why}}})
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
		Service: g.Service, Shard: g.Shard, Request: g.Request, Stage: int32(g.Stage), Count: int32(g.Count), Key: g.Key,
		Inputs: g.Inputs, Bytes: g.Bytes, Priority: int32(g.Priority), Home: g.Home, Weight: g.Weight,
		PromptUs: g.Prompt.Sub(now).Microseconds(), LastUs: g.Last.Sub(now).Microseconds(), StayUs: g.Stay.Sub(now).Microseconds(),
	}
}

func fromMessage(now time.Time, m *deskpb.Group) batch.Group {
	return batch.Group{
		Service: m.Service, Shard: m.Shard, Request: m.Request, Stage: int(m.Stage), Count: int(m.Count), Key: m.Key,
		Inputs: m.Inputs, Bytes: m.Bytes, Priority: int(m.Priority), Home: m.Home, Weight: m.Weight,
		Prompt: now.Add(time.Duration(m.PromptUs) * time.Microsecond), Last: now.Add(time.Duration(m.LastUs) * time.Microsecond), Stay: now.Add(time.Duration(m.StayUs) * time.Microsecond),
	}
}
