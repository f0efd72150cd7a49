package rollout

import (
	"maps"
	"math"
	"time"
)

// bands is the number of bands of response times: half octaves from 8 ms on, the last one for 16 s and more.
const bands = 23

// firstBand is the upper end of the first band.
const firstBand = 8 * time.Millisecond

// band returns the band of a response time.
func band(took time.Duration) int {
	if took <= firstBand {
		return 0
	}
	return min(bands-1, int(math.Ceil(2*math.Log2(float64(took)/float64(firstBand)))))
}

// Key names what responses are counted by.
type Key struct {
	// Route is the route of the requests, "" for work that no single route asked for.
	Route string
	// Target is the target of the new version that responded, "" for all targets of other versions.
	Target string
}

// Counts are the responses for a Key.
type Counts struct {
	Responses int
	Failures  int
	// Times holds the number of successful responses by the band of their response time.
	Times [bands]int
}

func (c Counts) plus(o Counts) Counts {
	c.Responses += o.Responses
	c.Failures += o.Failures
	for i, n := range o.Times {
		c.Times[i] += n
	}
	return c
}

func (c Counts) minus(o Counts) Counts {
	c.Responses = max(0, c.Responses-o.Responses)
	c.Failures = max(0, c.Failures-o.Failures)
	for i, n := range o.Times {
		c.Times[i] = max(0, c.Times[i]-n)
	}
	return c
}

// Sum is what one node, or the whole fleet, has counted since the order.
type Sum struct {
	// Requests is the number of requests for the service, Sent that of those sent to the new version.
	Requests int
	Sent     int
	Counts   map[Key]Counts
}

// WithRequest returns the sum after a request for the service.
func (s Sum) WithRequest() Sum {
	s.Requests++
	return s
}

// WithSent returns the sum after a request was sent to the new version.
func (s Sum) WithSent() Sum {
	s.Sent++
	return s
}

// Response is one response of a target.
type Response struct {
	Key Key
	// Failed is set if the target answered with a failure, broke off or gave no answer.
	Failed bool
	Took   time.Duration
	// IsWarmingUp is set if the target started so recently that its response time says nothing of its version.
	IsWarmingUp bool
}

// WithResponse returns the sum after a response.
func (s Sum) WithResponse(r Response) Sum {
	c := s.Counts[r.Key]
	c.Responses++
	switch {
	case r.Failed:
		c.Failures++
	case !r.IsWarmingUp:
		c.Times[band(r.Took)]++
	}
	s.Counts = maps.Clone(s.Counts)
	if s.Counts == nil {
		s.Counts = map[Key]Counts{}
	}
	s.Counts[r.Key] = c
	return s
}

// Plus returns the sum of both.
func (s Sum) Plus(o Sum) Sum {
	counts := maps.Clone(s.Counts)
	if counts == nil {
		counts = map[Key]Counts{}
	}
	for k, c := range o.Counts {
		counts[k] = counts[k].plus(c)
	}
	return Sum{Requests: s.Requests + o.Requests, Sent: s.Sent + o.Sent, Counts: counts}
}

// Since returns what has been counted since an earlier sum.
func (s Sum) Since(earlier Sum) Sum {
	counts := make(map[Key]Counts, len(s.Counts))
	for k, c := range s.Counts {
		if d := c.minus(earlier.Counts[k]); d.Responses > 0 {
			counts[k] = d
		}
	}
	return Sum{Requests: max(0, s.Requests-earlier.Requests), Sent: max(0, s.Sent-earlier.Sent), Counts: counts}
}

// responses returns the number of responses of the new version.
func (s Sum) responses() int {
	n := 0
	for k, c := range s.Counts {
		if k.Target != "" {
			n += c.Responses
		}
	}
	return n
}

// Report is what a node tells the nodes that collect the evidence of a rollout.
type Report struct {
	Node string
	// StartedAt identifies the run of the node, whose counts only rise.
	StartedAt int64
	Order     Order
	// Elapsed is the time since the order as the node knows it.
	Elapsed time.Duration
	// IsShifted is set once the node sends all new requests to the new version; OldRunning is the number of its requests that
	// still run at other versions.
	IsShifted  bool
	OldRunning int
	Sum        Sum
}

// reportLifetime is how long a node's report stands for the requests that the node has running.
const reportLifetime = 2 * time.Second

type runKey struct {
	node      string
	startedAt int64
}

type heardReport struct {
	report Report
	at     time.Time
}

// Evidence holds the latest report of each run of each node on one order. The zero value holds none; values are immutable.
type Evidence struct {
	order   Order
	reports map[runKey]heardReport
}

// NewEvidence returns the evidence on an order before any report.
func NewEvidence(o Order) Evidence { return Evidence{order: o} }

// With returns the evidence with reports, in the order in which they arrived. Reports on other orders, and those that arrive after a newer
// one of the same run, change nothing.
func (e Evidence) With(arrived ...heardReport) Evidence {
	if len(arrived) == 0 {
		return e
	}
	reports := maps.Clone(e.reports)
	if reports == nil {
		reports = map[runKey]heardReport{}
	}
	for _, h := range arrived {
		key := runKey{h.report.Node, h.report.StartedAt}
		known, ok := reports[key]
		// The time since the order tells reports apart that count the same requests: one from before a retry began, or a response came.
		isOlder := ok && (h.report.Sum.Requests < known.report.Sum.Requests || h.report.Elapsed < known.report.Elapsed)
		if h.report.Order.Is(e.order) && !isOlder {
			reports[key] = h
		}
	}
	return Evidence{order: e.order, reports: reports}
}

// Sum returns the sum over all reports. The earlier runs of nodes that have restarted count too.
func (e Evidence) Sum() Sum {
	total := Sum{Counts: map[Key]Counts{}}
	for _, h := range e.reports {
		total.Requests += h.report.Sum.Requests
		total.Sent += h.report.Sum.Sent
		for k, c := range h.report.Sum.Counts {
			total.Counts[k] = total.Counts[k].plus(c)
		}
	}
	return total
}

// Elapsed returns the longest time since the order that a node has told, as of now.
func (e Evidence) Elapsed(now time.Time) time.Duration {
	var longest time.Duration
	for _, h := range e.reports {
		longest = max(longest, h.report.Elapsed+now.Sub(h.at))
	}
	return longest
}

// IsDrained reports whether none of the nodes has a request running at another version, nor will send one there.
func (e Evidence) IsDrained(now time.Time, nodes []string) bool {
	// A node that has restarted may send to other versions again, whatever its run before has reported.
	latest := map[string]heardReport{}
	for k, h := range e.reports {
		if k.startedAt >= latest[k.node].report.StartedAt {
			latest[k.node] = h
		}
	}
	for _, n := range nodes {
		h, ok := latest[n]
		if !ok || now.Sub(h.at) > reportLifetime || !h.report.IsShifted || h.report.OldRunning > 0 {
			return false
		}
	}
	return len(nodes) > 0
}
