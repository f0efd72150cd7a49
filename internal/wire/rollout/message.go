package rollout

import (
	"math"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/rollout/rolloutpb"
)

const (
	// maxCounts bounds the counts of a report: all targets that are tried of a large service, on a few routes each.
	maxCounts = 4096
	// maxCount bounds each number of a report, beyond what any node serves.
	maxCount = math.MaxInt32
)

func toReport(r rollout.Report) *rolloutpb.Report {
	m := &rolloutpb.Report{
		Node: r.Node, Started: r.StartedAt, Service: r.Order.Service, Version: r.Order.Version, Created: r.Order.Created,
		ElapsedUs: r.Elapsed.Microseconds(), Shifted: r.IsShifted, OldRunning: int64(r.OldRunning), Requests: int64(r.Sum.Requests), Sent: int64(r.Sum.Sent),
	}
	for k, c := range r.Sum.Counts {
		x := &rolloutpb.Count{Route: k.Route, Target: k.Target, Responses: int64(c.Responses), Failures: int64(c.Failures)}
		for _, n := range c.Times {
			x.Times = append(x.Times, int64(n))
		}
		m.Counts = append(m.Counts, x)
		if len(m.Counts) == maxCounts {
			break
		}
	}
	return m
}

func fromReport(m *rolloutpb.Report) rollout.Report {
	r := rollout.Report{
		Node: m.Node, StartedAt: m.Started, Order: rollout.Order{Service: m.Service, Version: m.Version, Created: m.Created},
		Elapsed: fromMicroseconds(m.ElapsedUs), IsShifted: m.Shifted, OldRunning: bounded(m.OldRunning),
		Sum: rollout.Sum{Requests: bounded(m.Requests), Sent: bounded(m.Sent), Counts: map[rollout.Key]rollout.Counts{}},
	}
	for _, x := range m.Counts[:min(len(m.Counts), maxCounts)] {
		if x == nil {
			continue
		}
		c := rollout.Counts{Responses: bounded(x.Responses), Failures: bounded(x.Failures)}
		for i, n := range x.Times[:min(len(x.Times), len(c.Times))] {
			c.Times[i] = bounded(n)
		}
		r.Sum.Counts[rollout.Key{Route: x.Route, Target: x.Target}] = c
	}
	return r
}

// maxElapsed bounds the time since an order; orders last for minutes.
const maxElapsed = 24 * time.Hour

func fromMicroseconds(n int64) time.Duration {
	return time.Duration(max(0, min(n, maxElapsed.Microseconds()))) * time.Microsecond
}

func bounded(n int64) int { return int(max(0, min(n, maxCount))) }

func toReply(r rollout.Reply) *rolloutpb.Reply {
	m := &rolloutpb.Reply{Known: r.IsKnown, ElapsedUs: r.Elapsed.Microseconds()}
	if b := r.Bad; b != nil {
		m.Reason, m.Route, m.Bad, m.Responses, m.OldShare = string(b.Reason), b.Route, int64(b.Bad), int64(b.Responses), b.OldShare
	}
	return m
}

func fromReply(m *rolloutpb.Reply) rollout.Reply {
	r := rollout.Reply{IsKnown: m.Known, Elapsed: fromMicroseconds(m.ElapsedUs)}
	if m.Reason != "" {
		r.Bad = &rollout.Bad{Reason: rollout.BadReason(m.Reason), Route: m.Route, Bad: bounded(m.Bad), Responses: bounded(m.Responses), OldShare: m.OldShare}
	}
	return r
}
