package permit

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit/permitpb"
)

// transitTime bounds how long a message between nodes takes; the ages in it are too low by up to that much.
const transitTime = 300 * time.Millisecond

// poolReports returns the reports on the targets of a pool.
func poolReports(now time.Time, board notice.Board, r *registry.Registry, p ratelimit.Pool) []notice.LimitReport {
	var targets []notice.Target
	for _, t := range r.Usable(p.Service) {
		if t.Datacentre == p.Datacentre {
			targets = append(targets, t.Run())
		}
	}
	return reports(now, board, targets)
}

func toRun(t notice.Target) *permitpb.Run {
	return &permitpb.Run{Target: t.ID, Started: t.StartedAt}
}

func fromRun(m *permitpb.Run) notice.Target {
	return notice.Target{ID: m.GetTarget(), StartedAt: m.GetStarted()}
}

// ToLimits returns the messages of reports at now.
func ToLimits(now time.Time, list []notice.LimitReport) []*permitpb.Limit {
	out := make([]*permitpb.Limit, 0, len(list))
	for _, r := range list {
		m := &permitpb.Limit{Run: toRun(r.Target), SentUs: now.Sub(r.SentAt).Microseconds(), HeardUs: now.Sub(r.HeardAt).Microseconds()}
		if r.Limit.IsSet() {
			m.PerSecond = r.Limit.PerSecond
		} else {
			m.Ended = true
		}
		out = append(out, m)
	}
	return out
}

// FromLimits returns the reports of messages that were received at now.
func FromLimits(now time.Time, list []*permitpb.Limit) []notice.LimitReport {
	out := make([]notice.LimitReport, 0, len(list))
	for _, m := range list {
		r := notice.LimitReport{
			Target: fromRun(m.Run), Limit: notice.Unlimited,
			SentAt: now.Add(-time.Duration(m.SentUs)*time.Microsecond - transitTime), HeardAt: now.Add(-time.Duration(m.HeardUs) * time.Microsecond),
		}
		if !m.Ended {
			r.Limit = notice.Limit{PerSecond: m.PerSecond}
		}
		out = append(out, r)
	}
	return out
}

func toClaim(now time.Time, p ratelimit.Pool, c ratelimit.Claim, known []notice.LimitReport) *permitpb.Claim {
	m := &permitpb.Claim{
		Service: p.Service, Datacentre: p.Datacentre, Id: c.ID, Priority: int32(c.Priority), Invested: c.IsInvested, Worth: c.Worth,
		WaitUs: c.StartBy.Sub(now).Microseconds(), Limits: ToLimits(now, known),
	}
	if !c.ReadyAt.IsZero() {
		m.ReadyUs = max(1, c.ReadyAt.Sub(now).Microseconds())
	}
	if !c.ReturnBy.IsZero() {
		m.ReturnUs = max(1, c.ReturnBy.Sub(now).Microseconds())
	}
	for _, t := range c.Targets {
		m.Targets = append(m.Targets, toRun(t))
	}
	return m
}

func fromClaim(now time.Time, m *permitpb.Claim) ratelimit.Claim {
	c := ratelimit.Claim{ID: m.Id, Priority: int(m.Priority), IsInvested: m.Invested, Worth: m.Worth, StartBy: now.Add(time.Duration(m.WaitUs) * time.Microsecond)}
	if m.ReadyUs > 0 {
		c.ReadyAt = now.Add(time.Duration(m.ReadyUs) * time.Microsecond)
	}
	if m.ReturnUs > 0 {
		c.ReturnBy = now.Add(time.Duration(m.ReturnUs) * time.Microsecond)
	}
	for _, t := range m.Targets {
		c.Targets = append(c.Targets, fromRun(t))
	}
	return c
}

func fromDecision(m *permitpb.Decision) (ratelimit.Decision, error) {
	switch decisionState(m.State) {
	case stateGranted:
		return ratelimit.Granted{Target: fromRun(m.Target)}, nil
	case stateLifted:
		return ratelimit.Lifted{}, nil
	case stateAnnounced:
		return ratelimit.Announced{}, nil
	case stateRejected:
		return ratelimit.Rejected{RetryAfter: time.Duration(m.RetryUs) * time.Microsecond}, nil
	default:
		return nil, errNotKeeper
	}
}
