package rollout

import (
	"math"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
)

const (
	// canaryPart is the part of the permitted share that is used before the new version takes all requests. Each node keeps it for
	// its own requests, so that the sum over nodes that start, stop or are cut off keeps it as well.
	canaryPart = 0.8
	// minCanaries is the number of targets of the new version that are tried at least, so that one of them is not the version.
	minCanaries = 2
	// maxLead and minLead bound how long before the deadline the new version takes all requests: long enough for most requests at
	// other versions to end, and short enough for a version that turns bad to be seen by its share alone.
	maxLead = 4 * time.Second
	minLead = 1500 * time.Millisecond
	// finalMargin is how long before the deadline the final state is written: a few attempts at a slow store.
	finalMargin = 1200 * time.Millisecond
	// takeover is after how long the next node writes a state that the one before it has not written.
	takeover = 500 * time.Millisecond
	// evidenceLifetime is how long a node that hears no evidence of the fleet goes on trying the new version.
	evidenceLifetime = 1500 * time.Millisecond
	// CompareWindow is the latest time over which responses are compared by themselves.
	CompareWindow = 3 * time.Second
)

// Limits are a deployment's bounds on a version that turns out bad.
type Limits struct {
	// Share is the greatest share of a service's requests that it may get before the deadline, Extra the requests beyond it.
	Share float64
	Extra int
	// Rollback is the time within which requests to a version that responds badly must stop.
	Rollback time.Duration
}

// Progress is how far a rollout has come as one node knows it; values are immutable.
type Progress struct {
	Order Order
	// Began is when the store acknowledged the order, as far as the node can know.
	Began time.Time
	// State is the state as stored.
	State State
	// Bad is the verdict that ended the trial, nil if there is none; it stands once it is known.
	Bad   *Bad
	badAt time.Time
	// heardAt is when the node last heard the fleet's evidence.
	heardAt   time.Time
	isShifted bool
}

// NewProgress returns the progress of an order that a node sees at now. began is when another node has seen it, zero if none is known;
// what the fleet has learnt since then must be heard before the new version gets anything from this node.
func NewProgress(now time.Time, o Order, began time.Time) Progress {
	p := Progress{Order: o, Began: now, heardAt: now}
	if !began.IsZero() {
		// The writer's clock may be wrong, but the order is not from the future, nor is it treated as over without evidence.
		p.Began = now.Add(-min(max(0, now.Sub(began)), max(0, o.Duration-o.lead())))
		p.heardAt = time.Time{}
	}
	return p
}

func (o Order) lead() time.Duration { return max(minLead, min(o.Duration/3, maxLead)) }

// Deadline returns when the rollout should have its final state.
func (p Progress) Deadline() time.Time { return p.Began.Add(p.Order.Duration) }

// ShiftAt returns when the new version takes all requests, unless something speaks against it.
func (p Progress) ShiftAt() time.Time { return p.Deadline().Add(-p.Order.lead()) }

// WithState returns the progress after the node has read the stored state. A final state stays.
func (p Progress) WithState(s State) Progress {
	if !p.State.IsFinal() {
		p.State = s
	}
	return p
}

// WithVerdict returns the progress after a verdict of this node or another one at now.
func (p Progress) WithVerdict(now time.Time, v Verdict) Progress {
	if bad, ok := v.(Bad); ok && p.Bad == nil {
		p.Bad, p.badAt, p.isShifted = &bad, now, false
	}
	return p
}

// WithHeard returns the progress after the node has heard the fleet's evidence, as it was at a time. A node that hears only itself, or
// few others, has not.
func (p Progress) WithHeard(at time.Time) Progress {
	if at.After(p.heardAt) {
		p.heardAt = at
	}
	return p
}

// WithElapsed returns the progress after another node has told how long ago the order was.
func (p Progress) WithElapsed(now time.Time, elapsed time.Duration) Progress {
	if began := now.Add(-elapsed); began.Before(p.Began) {
		p.Began = began
	}
	return p
}

// WithTime returns the progress at now, given whether the new version has targets that may be sent work.
func (p Progress) WithTime(now time.Time, hasTargets bool) Progress {
	if p.Step(now) == Canary && !now.Before(p.ShiftAt()) && hasTargets {
		p.isShifted = true
	}
	return p
}

// WithoutShift returns the progress of a node that does not know any more whether the new version may take all requests.
func (p Progress) WithoutShift() Progress {
	p.isShifted = false
	return p
}

// Step is what a node does with the requests of a service in a rollout.
type Step string

// The steps.
const (
	// Canary sends a share of the requests to some targets of the new version.
	Canary Step = "canary"
	// Paused sends none there for lack of evidence.
	Paused Step = "paused"
	// Shifted sends all new requests to the new version, as long as it has targets.
	Shifted Step = "shifted"
	// Withdrawn sends none to the new version.
	Withdrawn Step = "withdrawn"
	// Done sends requests to the new version only.
	Done Step = "done"
)

// Step returns the step at now.
func (p Progress) Step(now time.Time) Step {
	switch {
	case p.State == Completed:
		return Done
	case p.State == RolledBack || p.Bad != nil:
		return Withdrawn
	case p.isShifted:
		return Shifted
	case now.Sub(p.heardAt) > evidenceLifetime:
		return Paused
	default:
		return Canary
	}
}

// Choice is which targets a request may be sent to.
type Choice string

// The choices.
const (
	// OldOnly is for targets of other versions only.
	OldOnly Choice = "old"
	// CanariesFirst is for the canaries of the new version, and for other versions if no canary can take the request.
	CanariesFirst Choice = "canaries"
	// NewFirst is for targets of the new version, and for other versions if there are none.
	NewFirst Choice = "new"
	// NewOnly is for targets of the new version only.
	NewOnly Choice = "new_only"
)

// Choose returns which targets the next n requests of a node may be sent to, given what the node has counted; these requests are not
// counted yet.
func (p Progress) Choose(now time.Time, l Limits, own Sum, n int) Choice {
	switch p.Step(now) {
	case Done:
		return NewOnly
	case Shifted:
		return NewFirst
	case Canary:
		if float64(own.Sent+n) <= canaryPart*l.Share*float64(own.Requests+n) {
			return CanariesFirst
		}
	}
	return OldOnly
}

// Canaries returns the targets of the new version that are tried first, the same at all nodes. Few targets get the share of the
// requests, so that each bears the load of those of other versions and a version that is bad under load shows it.
func (o Order) Canaries(targets []registry.Target, l Limits) []registry.Target {
	byID := map[string]registry.Target{}
	ids := make([]string, 0, len(targets))
	for _, t := range targets {
		if t.Software == o.Version {
			byID[t.ID] = t
			ids = append(ids, t.ID)
		}
	}
	n := min(len(ids), max(minCanaries, int(math.Ceil(canaryPart*l.Share*float64(len(ids))))))
	list := make([]registry.Target, 0, n)
	for _, id := range rendezvous.Rank("rollout/"+o.Service+"/"+o.Version, ids)[:n] {
		list = append(list, byID[id])
	}
	return list
}

// Targets returns the targets among which a request is placed.
func (o Order) Targets(c Choice, targets []registry.Target, l Limits) []registry.Target {
	var old, updated []registry.Target
	for _, t := range targets {
		if t.Software == o.Version {
			updated = append(updated, t)
		} else {
			old = append(old, t)
		}
	}
	switch {
	case c == CanariesFirst && len(updated) > 0:
		return o.Canaries(updated, l)
	case c == NewOnly || (c == NewFirst && len(updated) > 0):
		return updated
	default:
		return old
	}
}

// Action is what a node does about the stored state of a rollout.
type Action interface{ action() }

// Keep leaves the stored state as it is.
type Keep struct{}

// Write stores a state, on the condition that the stored one is still the one that the node knows.
type Write struct {
	State  State
	Reason WriteReason
}

func (Keep) action()  {}
func (Write) action() {}

// WriteReason is why a state is written.
type WriteReason string

// The reasons.
const (
	Seen       WriteReason = "order seen"
	BadVersion WriteReason = "version is bad"
	Drained    WriteReason = "no request runs at other versions"
	DueNow     WriteReason = "deadline is near"
	NoEvidence WriteReason = "new version has not served enough"
)

// Situation is what a node knows of the fleet when it decides whether to write.
type Situation struct {
	// Rank is the node's place among those that collect the evidence, 0 for the first.
	Rank int
	// HasEvidence is set if the node has fresh reports of more than half of the nodes.
	HasEvidence bool
	// IsDrained is set if no node has a request running at another version, nor will send one there.
	IsDrained bool
	Sum       Sum
}

// Next returns what the node does about the stored state at now. Only nodes that collect the evidence decide; of two that decide, the
// condition of the write lets one do so.
func (p Progress) Next(now time.Time, s Situation) Action {
	delay := time.Duration(s.Rank) * takeover
	if p.State.IsFinal() {
		return Keep{}
	}
	if p.Bad != nil {
		return writeAt(now, p.badAt.Add(delay), Write{RolledBack, BadVersion})
	}
	if s.HasEvidence && !now.Before(p.Deadline().Add(delay-finalMargin)) {
		if p.isShifted && s.Sum.isServed() {
			return Write{Completed, DueNow}
		}
		return Write{RolledBack, NoEvidence}
	}
	if s.HasEvidence && p.isShifted && s.IsDrained && s.Sum.isServed() && !now.Before(p.ShiftAt().Add(delay+p.Order.lead()/2)) {
		return Write{Completed, Drained}
	}
	if p.State == "" {
		return writeAt(now, p.Began.Add(delay), Write{Running, Seen})
	}
	return Keep{}
}

func writeAt(now, due time.Time, w Write) Action {
	if now.Before(due) {
		return Keep{}
	}
	return w
}

// isServed reports whether the new version has answered requests, most of them well. A service with few requests has too few
// responses for a comparison.
func (s Sum) isServed() bool {
	succeeded, failed := 0, 0
	for k, c := range s.Counts {
		if k.Target != "" {
			succeeded += c.Responses - c.Failures
			failed += c.Failures
		}
	}
	return succeeded > failed
}
