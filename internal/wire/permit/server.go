package permit

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit/permitpb"
)

// decisionState is the meaning of a Decision message.
type decisionState string

const (
	stateGranted   decisionState = "granted"
	stateLifted    decisionState = "lifted"
	stateAnnounced decisionState = "announced"
	stateRejected  decisionState = "rejected"
	// A node that declines does not keep the limits of the pool.
	stateDeclined decisionState = "declined"
)

// server serves the keeper to other nodes.
type server struct {
	permitpb.UnimplementedPermitServer
	keeper *Keeper
}

// Register registers the keeper's service for other nodes.
func Register(s *grpc.Server, k *Keeper) { permitpb.RegisterPermitServer(s, server{keeper: k}) }

// Reserve decides on another node's claim.
func (s server) Reserve(ctx context.Context, m *permitpb.Claim) (*permitpb.Decision, error) {
	cfg := s.keeper.cfg
	now := cfg.Now()
	c := fromClaim(now, m)
	s.learn(now, m.Limits)
	d, err := s.keeper.Reserve(ctx, ratelimit.Pool{Service: m.Service, Datacentre: m.Datacentre}, c)
	if err != nil && !errors.Is(err, errNotKeeper) {
		return nil, err
	}
	now = cfg.Now()
	out := &permitpb.Decision{Limits: ToLimits(now, reports(now, cfg.Notices.Board(), c.Targets))}
	switch d := d.(type) {
	case ratelimit.Granted:
		out.State, out.Target = string(stateGranted), toRun(d.Target)
	case ratelimit.Lifted:
		out.State = string(stateLifted)
	case ratelimit.Announced:
		out.State = string(stateAnnounced)
	case ratelimit.Rejected:
		out.State, out.RetryUs = string(stateRejected), d.RetryAfter.Microseconds()
	default:
		out.State = string(stateDeclined)
	}
	return out, nil
}

// Exchange takes another node's reports on the targets of a pool, and returns those of this node.
func (s server) Exchange(_ context.Context, m *permitpb.Limits) (*permitpb.Limits, error) {
	cfg := s.keeper.cfg
	now := cfg.Now()
	s.learn(now, m.Limits)
	list := poolReports(now, cfg.Notices.Board(), cfg.Registry(), ratelimit.Pool{Service: m.Service, Datacentre: m.Datacentre})
	return &permitpb.Limits{Service: m.Service, Datacentre: m.Datacentre, Limits: ToLimits(now, list)}, nil
}

func (s server) learn(now time.Time, list []*permitpb.Limit) {
	s.keeper.cfg.Notices.Learn(now, nil, FromLimits(now, list))
}

// reports returns the reports on some targets.
func reports(now time.Time, board notice.Board, targets []notice.Target) []notice.LimitReport {
	var list []notice.LimitReport
	for _, t := range targets {
		if r, ok := board.LimitReport(now, t); ok {
			list = append(list, r)
		}
	}
	return list
}
