package dispatch

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch/deskpb"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit"
)

// progressState is the meaning of a message of a Produce call.
type progressState string

const (
	stateQueued        progressState = "queued"
	stateInputsFetched progressState = "begun"
	stateHeartbeat     progressState = "alive"
	stateRefused       progressState = "refused"
	// A dispatcher that declines accepts no groups at all for now; another one may.
	stateDeclined progressState = "declined"
	// stateRoomy precedes stateDone if the results need not be freed before their readers have ended.
	stateRoomy progressState = "roomy"
	stateDone  progressState = "done"
)

// server serves the dispatcher to other nodes.
type server struct {
	deskpb.UnimplementedDeskServer
	dispatcher *Dispatcher
}

// Register registers the dispatcher's service for other nodes.
func Register(s *grpc.Server, d *Dispatcher) { deskpb.RegisterDeskServer(s, server{dispatcher: d}) }

// Produce queues a group of another node's request.
func (s server) Produce(m *deskpb.Group, out grpc.ServerStreamingServer[deskpb.Progress]) error {
	if err := s.dispatcher.awaitConfig(out.Context()); err != nil {
		return out.Send(&deskpb.Progress{State: string(stateDeclined)})
	}
	now := s.dispatcher.cfg.Now()
	notices := s.dispatcher.cfg.Notices
	notices.Learn(now, fromRuns(m.Leaving), permit.FromLimits(now, m.Limits))
	g := fromMessage(now, m)
	// Send errors are ignored: a disconnected caller ends the stream's context.
	results, err := s.dispatcher.Produce(out.Context(), g, Callbacks{
		OnQueued: func(wait time.Duration) {
			p := s.progressWithNews(stateQueued)
			p.WaitUs = wait.Microseconds()
			_ = out.Send(p)
		},
		OnInputsFetched: func() { _ = out.Send(&deskpb.Progress{State: string(stateInputsFetched)}) },
		OnHeartbeat:     func() { _ = out.Send(&deskpb.Progress{State: string(stateHeartbeat)}) },
	})
	var r *batch.RejectedError
	if errors.As(err, &r) {
		return out.Send(&deskpb.Progress{State: string(stateRefused), WaitUs: r.Wait.Microseconds(), Results: []*deskpb.Result{{Reason: r.Reason}}})
	}
	if err != nil {
		return err
	}
	if out.Context().Err() != nil {
		s.dispatcher.freeUndelivered(results)
		return out.Context().Err()
	}
	if s.dispatcher.HasRoom(g, results) {
		_ = out.Send(&deskpb.Progress{State: string(stateRoomy)})
	}
	p := s.progressWithNews(stateDone)
	for _, x := range results {
		p.Results = append(p.Results, &deskpb.Result{Handle: x.Handle, Reason: string(x.Reason), Datacentre: x.Datacentre})
	}
	if err := out.Send(p); err != nil {
		s.dispatcher.freeUndelivered(results)
		return err
	}
	return nil
}

// progressWithNews returns a message with the latest notices of targets.
func (s server) progressWithNews(state progressState) *deskpb.Progress {
	now, board := s.dispatcher.cfg.Now(), s.dispatcher.cfg.Notices.Board()
	return &deskpb.Progress{State: string(state), Leaving: toRuns(board.News(now)), Limits: permit.ToLimits(now, board.LimitNews(now))}
}

// Free queues results to be freed.
func (s server) Free(_ context.Context, m *deskpb.Handles) (*deskpb.Freed, error) {
	s.dispatcher.Free(m.Handles)
	return &deskpb.Freed{}, nil
}

func toRuns(list []notice.Target) []*deskpb.Run {
	var runs []*deskpb.Run
	for _, t := range list {
		runs = append(runs, &deskpb.Run{Target: t.ID, Started: t.StartedAt})
	}
	return runs
}

func fromRuns(runs []*deskpb.Run) []notice.Target {
	var list []notice.Target
	for _, r := range runs {
		list = append(list, notice.Target{ID: r.Target, StartedAt: r.Started})
	}
	return list
}

func toMessage(now time.Time, g batch.Group) *deskpb.Group {
	return &deskpb.Group{
		Service: g.Service, Shard: g.Datacentre, Request: g.Request, Stage: int32(g.Stage), Count: int32(g.Count), Key: g.PieceKey,
		Inputs: g.Inputs, Identity: g.Identity, Bytes: g.ResultBytes, Priority: int32(g.Priority), Home: g.PreferredDatacentre, Weight: g.TransferBytes,
		PromptUs: g.StartByObjective.Sub(now).Microseconds(), LastUs: g.StartByDeadline.Sub(now).Microseconds(), StayUs: g.PreferUntil.Sub(now).Microseconds(),
	}
}

func fromMessage(now time.Time, m *deskpb.Group) batch.Group {
	return batch.Group{
		Service: m.Service, Datacentre: m.Shard, Request: m.Request, Stage: int(m.Stage), Count: int(m.Count), PieceKey: m.Key,
		Inputs: m.Inputs, Identity: m.Identity, ResultBytes: m.Bytes, Priority: int(m.Priority), PreferredDatacentre: m.Home, TransferBytes: m.Weight,
		StartByObjective: now.Add(time.Duration(m.PromptUs) * time.Microsecond), StartByDeadline: now.Add(time.Duration(m.LastUs) * time.Microsecond), PreferUntil: now.Add(time.Duration(m.StayUs) * time.Microsecond),
	}
}
