package batch

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/speed"
)

// Scheduler forms batch calls from the pieces that wait for a service, or for its targets in one data centre.
type Scheduler struct {
	waiting Queue
	targets map[string]*targetState
	// skipped is the set of targets for which no waiting piece was found in this round.
	skipped map[string]bool
	// onTimeShare is the share of the latest calls' capacity that went to pieces that can still meet their latency objective.
	onTimeShare float64
	// lastCall is when the last call was started.
	lastCall time.Time
	// basis says why calls are placed by the speeds of the targets. heldUntil is when to look again at pieces that wait for faster targets.
	basis     speed.Basis
	heldUntil time.Time
	// left has the targets that may not be used now, by ID.
	left map[string]*targetState
	// returned is the rate at which room for results is given back.
	returned returnRate
	// onTimeRoom is the share of the room of the latest calls' targets that went to pieces that can still meet their latency objective.
	onTimeRoom float64
}

// activePeriod is how long after a call further pieces are expected.
const activePeriod = time.Second

// NewScheduler returns a scheduler without targets.
func NewScheduler() *Scheduler {
	return &Scheduler{targets: map[string]*targetState{}, skipped: map[string]bool{}, left: map[string]*targetState{}}
}

// Call is one batch of pieces for one target.
type Call struct {
	Target  registry.Target
	Pieces  []Piece
	Started time.Time
	// Expected is the expected duration of the call, from the batch profile and the target's measured slowness or speed.
	Expected time.Duration
	// QueueLength is the number of pieces that still wait.
	QueueLength int
	// HeldBytes is the space of the tracked results at the target before the call, UntrackedBytes the assumed space of
	// the untracked ones.
	HeldBytes      int64
	UntrackedBytes int64
	// Rollout is what the rollout of the service, if there is one, counts the call by.
	Rollout rollout.Send
	// StartsAtOnce is set if the target is expected to start the call at once, and so to fetch its inputs soon.
	StartsAtOnce bool
	// Speed is what was known of the target's speed if calls are placed by it, according to Basis.
	Speed speed.Speed
	Basis speed.Basis
	state *targetState
}

// Requests lists the requests whose pieces are in the call as REQUEST/STAGE, once for each group.
func (c *Call) Requests() []string {
	var list []string
	seen := make(map[*Group]bool, len(c.Pieces))
	for _, p := range c.Pieces {
		if !seen[p.Group] {
			seen[p.Group] = true
			list = append(list, p.Request+"/"+strconv.Itoa(p.Stage))
		}
	}
	return list
}

// Len returns the number of waiting pieces.
func (s *Scheduler) Len() int { return s.waiting.Len() }

// SetTargets sets the targets that may be sent work; a restarted target holds no results.
func (s *Scheduler) SetTargets(now time.Time, targets []registry.Target) {
	usable := make(map[string]bool, len(targets))
	for _, t := range targets {
		usable[t.ID] = true
		st, ok := s.targets[t.ID]
		if !ok {
			st = s.comeBack(now, t)
		}
		if st == nil || st.target.StartedAt != t.StartedAt {
			st = &targetState{held: map[string]heldResult{}, added: now}
		}
		s.targets[t.ID] = st
		st.target = t
	}
	for id, st := range s.targets {
		if !usable[id] {
			s.leave(now, st)
		}
	}
	s.pruneLeft(now)
}

// SetPauses sets until when targets want no calls, by ID; the others take them.
func (s *Scheduler) SetPauses(until map[string]time.Time) {
	for id, st := range s.targets {
		st.pausedUntil = until[id]
	}
}

// SetLimits sets the limits of targets by ID; the others have none.
func (s *Scheduler) SetLimits(limits map[string]Limit) {
	for id, st := range s.targets {
		st.limit = limits[id]
	}
}

// TargetsToClaim returns the limited targets for which a grant is to be asked for now: pieces wait that no other target has
// taken, or others are likely to come while the grant lasts. Each of them counts as asked until RecordGrant or RecordNoGrant.
// None is asked for where no call would start.
func (s *Scheduler) TargetsToClaim(now time.Time, profile route.BatchProfile) []registry.Target {
	if s.waiting.Len() == 0 && now.Sub(s.lastCall) >= activePeriod {
		return nil
	}
	var list []registry.Target
	for _, st := range s.targets {
		if !st.limit.IsSet() || st.busy || st.isAsked || st.hasGrant(now) || now.Before(st.askAt) || st.unavailable(now) {
			continue
		}
		if s.avoids(now, profile, st) && !s.hasExcess(now, profile, st) {
			continue
		}
		st.isAsked = true
		list = append(list, st.target)
	}
	slices.SortFunc(list, func(a, b registry.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// RecordGrant records that one call to a target has been granted.
func (s *Scheduler) RecordGrant(now time.Time, t registry.Target) {
	if st, ok := s.targets[t.ID]; ok && st.target.Run() == t.Run() {
		st.isAsked = false
		st.grantedUntil = now.Add(grantTime)
	}
}

// RecordNoGrant records that no call to a target is granted before a time.
func (s *Scheduler) RecordNoGrant(t registry.Target, askAt time.Time) {
	if st, ok := s.targets[t.ID]; ok && st.target.Run() == t.Run() {
		st.isAsked = false
		st.askAt = askAt
	}
}

// MostUrgent returns the priority of the most urgent waiting piece, and the latest start of any; the zero time if none waits.
func (s *Scheduler) MostUrgent() (priority int, startBy time.Time) { return s.waiting.mostUrgent() }

// TargetsToProbe returns the targets to ask now for their free space.
//
// Probes are needed when a dispatcher takes over from a lost node: the results of that node's calls fill the targets
// until they expire, and pieces sent there come back without a result after a complete call.
func (s *Scheduler) TargetsToProbe(now time.Time) []registry.Target {
	var list []registry.Target
	for _, st := range s.targets {
		if st.unavailable(now) || st.limit.IsSet() || st.probed && st.untrackedBytes(now) == 0 || (!st.probedAt.IsZero() && now.Sub(st.probedAt) < probeInterval) {
			continue
		}
		st.probedAt = now
		list = append(list, st.target)
	}
	slices.SortFunc(list, func(a, b registry.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// HasUntracked reports whether any target is assumed to hold untracked results.
func (s *Scheduler) HasUntracked(now time.Time) bool {
	for _, st := range s.targets {
		if st.untrackedBytes(now) > 0 {
			return true
		}
	}
	return false
}

// Space is a target's report of its free space for results: a range in bytes.
type Space struct {
	Min int64
	Max int64
}

// RecordSpace records the free space that a target has reported.
func (s *Scheduler) RecordSpace(now time.Time, profile route.BatchProfile, t registry.Target, space Space) {
	st, ok := s.targets[t.ID]
	if !ok || st.target.StartedAt != t.StartedAt {
		return
	}
	st.probed = true
	low, high := max(0, profile.ResultSpace-space.Max-st.heldBytes), max(0, profile.ResultSpace-space.Min-st.heldBytes)
	if assumed := st.untrackedBytes(now); assumed < low || assumed > high {
		st.untracked, st.untrackedAt, st.untrackedDecay = min(max(assumed, low), high), now, max(st.untrackedDecay, minUntrackedDecay)
	}
}

// RecordProbeFailure records that a probe got no response; the target's space is assumed free until a call shows
// otherwise.
func (s *Scheduler) RecordProbeFailure(t registry.Target) {
	if st, ok := s.targets[t.ID]; ok && st.target.StartedAt == t.StartedAt {
		st.probed = true
	}
}

// Admit returns the expected wait of a group, or a *RejectedError if it could not start in time.
func (s *Scheduler) Admit(now time.Time, profile route.BatchProfile, g Group) (time.Duration, error) {
	start, ok := s.waiting.EstimateStart(now, g.Count, g.Priority, profile, s.nextStarts(now))
	if !ok {
		return 0, &RejectedError{Reason: "stage service has no targets"}
	}
	if start.After(g.StartByDeadline) {
		return 0, &RejectedError{Reason: "stage service is full", Wait: start.Sub(now)}
	}
	return start.Sub(now), nil
}

// Add queues pieces.
func (s *Scheduler) Add(p ...Piece) { s.waiting.Add(p...) }

// RemoveGroup removes the waiting pieces of a group.
func (s *Scheduler) RemoveGroup(id uint64) { s.waiting.RemoveGroup(id) }

// Expire removes and returns the pieces that can no longer start in time.
func (s *Scheduler) Expire(now time.Time, profile route.BatchProfile) []Piece {
	return append(s.waiting.Expire(now), s.waiting.ExpireStarved(now, profile, s.nextStarts(now), 1-s.onTimeShare, s.newRoom(now, profile))...)
}

// StartRound starts a round of NextCall calls, in which every target is considered again.
func (s *Scheduler) StartRound() {
	clear(s.skipped)
	s.heldUntil = time.Time{}
}

// NextCall forms the next call from the waiting pieces; false if no call should start now.
func (s *Scheduler) NextCall(now time.Time, profile route.BatchProfile) (*Call, bool) {
	s.updateBasis(profile)
	for s.waiting.Len() > 0 {
		st, idle := s.nextTarget(now, profile)
		if st == nil {
			return nil, false
		}
		space := profile.ResultSpace - st.usedBytes(now)
		pieces := s.waiting.Take(now, s.callSize(now, profile, st, idle), space, st.target.Datacentre, s.targetsByDatacentre(now))
		if len(pieces) == 0 {
			s.skipped[st.target.ID] = true
			continue
		}
		s.recordOnTime(now, profile, pieces)
		s.recordOnTimeRoom(now, pieces, space)
		expected := s.expected(now, profile, st, len(pieces))
		var bytes int64
		for _, p := range pieces {
			bytes += p.ResultBytes
		}
		c := &Call{
			Target: st.target, Pieces: pieces, Started: now, Expected: expected, QueueLength: s.waiting.Len(),
			HeldBytes: st.heldBytes, UntrackedBytes: st.untrackedBytes(now), StartsAtOnce: st.startsAtOnce(now), state: st,
			Speed: st.speed, Basis: s.basis,
		}
		s.lastCall = now
		st.busy = true
		st.grantedUntil = time.Time{}
		st.freeAt = now.Add(expected)
		st.heldBytes += bytes
		st.lastCallBytes = bytes
		return c, true
	}
	return nil, false
}

// Return takes back a call that was not made; its target gets no other one in this round.
func (s *Scheduler) Return(c *Call) {
	c.release()
	c.state.freeAt = c.Started
	s.skipped[c.Target.ID] = true
	s.Add(c.Pieces...)
}

// onTimeCalls is the number of calls of each target over which onTimeShare is averaged: about a second's worth.
const onTimeCalls = 4

// recordOnTime updates onTimeShare with the pieces of a call.
func (s *Scheduler) recordOnTime(now time.Time, profile route.BatchProfile, pieces []Piece) {
	n := 0
	for _, p := range pieces {
		if !now.After(p.StartByObjective) {
			n++
		}
	}
	s.onTimeShare += (float64(n)/float64(profile.MaxSize) - s.onTimeShare) / float64(onTimeCalls*len(s.targets))
}

// nextTarget chooses the target of the next call, nil if none should start one, and returns how many could.
func (s *Scheduler) nextTarget(now time.Time, profile route.BatchProfile) (best *targetState, idle int) {
	var bestAvoided bool
	var list []*targetState
	for _, st := range s.targets {
		if st.busy || !st.ready(now) || !st.hasGrant(now) || s.skipped[st.target.ID] || st.unavailable(now) || profile.ResultSpace-st.usedBytes(now) <= 0 {
			continue
		}
		idle++
		if s.basis != speed.None {
			list = append(list, st)
			continue
		}
		avoided := s.avoids(now, profile, st)
		if avoided && !s.hasExcess(now, profile, st) {
			continue
		}
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && st.preferredTo(best) {
			best, bestAvoided = st, avoided
		}
	}
	if s.basis != speed.None {
		best = s.earliest(now, profile, list)
	}
	return best, idle
}

// avoids reports whether other targets go before one that has become slow. If it names a limit it is avoided only while its
// slowness would make waiting pieces late: a grant that is not used is lost.
func (s *Scheduler) avoids(now time.Time, profile route.BatchProfile, st *targetState) bool {
	if !st.isSlow(now) {
		return false
	}
	extra := time.Duration((st.slowness(now) - 1) * float64(profile.CallDuration(profile.MaxSize)))
	return !st.limit.IsSet() || s.waiting.isLateIfDelayed(now, extra)
}

// hasExcess reports whether more pieces wait than the healthy targets can take in the extra time that a slow one needs; those
// that lack a grant take none.
func (s *Scheduler) hasExcess(now time.Time, profile route.BatchProfile, slow *targetState) bool {
	healthy := 0
	for _, st := range s.targets {
		if !st.isSlow(now) && !st.unavailable(now) && st.hasGrant(now) {
			healthy++
		}
	}
	return float64(s.waiting.Len()) >= (slow.slowness(now)-1)*float64(healthy*profile.MaxSize)
}

// targetsByDatacentre summarises the targets of each data centre that are not slow.
func (s *Scheduler) targetsByDatacentre(now time.Time) map[string]datacentreTargets {
	list := map[string]datacentreTargets{}
	for _, st := range s.targets {
		if s.isSlow(now, st) {
			continue
		}
		entry, ok := list[st.target.Datacentre]
		if at := st.nextStart(now); !ok || at.Before(entry.freeAt) {
			entry.freeAt = at
		}
		entry.count++
		list[st.target.Datacentre] = entry
	}
	return list
}

// nextStarts returns for each target when it can start a call.
func (s *Scheduler) nextStarts(now time.Time) []Opening {
	list := make([]Opening, 0, len(s.targets))
	for _, st := range s.targets {
		list = append(list, Opening{At: st.nextStart(now), Interval: st.limit.Interval})
	}
	return list
}

// release marks the target as idle and drops the space reserved for the call's results.
func (c *Call) release() {
	c.state.busy = false
	for _, p := range c.Pieces {
		c.state.heldBytes -= p.ResultBytes
	}
}

// Fail records that a call returned no results, and returns the target's back-off and its number of failures in a row.
func (c *Call) Fail(now time.Time) (backoff time.Duration, failures int) {
	c.release()
	c.state.failures++
	backoff = min(maxBackoff, minBackoff<<min(c.state.failures-1, 8))
	c.state.backoffUntil = now.Add(backoff)
	return backoff, c.state.failures
}

// Complete records the results of a call and reports whether the target lacked space for some of them.
func (c *Call) Complete(now time.Time, profile route.BatchProfile, r Reply) (full bool) {
	c.release()
	c.state.failures = 0
	c.state.slowRatio = slowRatio(now.Sub(c.Started)-networkMargin, profile.CallDuration(len(c.Pieces)))
	c.state.measuredAt = now
	c.state.recordSharing(now, c.slowRatio(now, profile), r)
	c.recordSpeed(now, profile, r)
	var added int64
	for i, p := range c.Pieces {
		switch r.Results[i].Reason {
		case Completed:
			c.state.held[r.Results[i].Handle] = heldResult{bytes: p.ResultBytes, expiresAt: now.Add(profile.ResultTTL)}
			c.state.heldBytes += p.ResultBytes
			added += p.ResultBytes
		case NoSpace:
			full = true
		}
	}
	if full {
		c.state.recordNoSpace(now, profile, profile.ResultSpace-c.HeldBytes-added)
	} else {
		c.state.recordAllFit(profile)
	}
	return full
}

// HasRoom reports whether the targets at addresses have room for results that stay until their readers have ended.
func (s *Scheduler) HasRoom(now time.Time, profile route.BatchProfile, addresses map[string]bool) bool {
	for _, st := range s.targets {
		if addresses[st.target.Address] && !st.hasRoom(now, profile) {
			return false
		}
	}
	return true
}

// ReleaseResults records that the target at an address no longer holds the results with these handles.
func (s *Scheduler) ReleaseResults(address string, handles []string) {
	for _, list := range []map[string]*targetState{s.targets, s.left} {
		for _, st := range list {
			if st.target.Address == address {
				s.returned.since += st.releaseResults(handles)
			}
		}
	}
}
