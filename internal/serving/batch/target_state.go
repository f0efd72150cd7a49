package batch

import (
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/speed"
)

const (
	// minBackoff and maxBackoff bound the back-off of a target after a failure.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// slowThreshold is the ratio of measured to expected call time from which a target counts as slow.
	slowThreshold = 1.5
	// slowMargin is how much longer than expected a call may take without making its target slow, and unremarkable the ratio that
	// it then counts as at most: a short call may be late by that much because this process was.
	slowMargin   = 50 * time.Millisecond
	unremarkable = 1.4
	// slownessHalfLife is the time in which a measured slowness decays to half, so that the target is tried again.
	slownessHalfLife = 3 * time.Second
	// probeInterval is how often a target with untracked results is asked for its space. probeTimeout is how long a new
	// target gets no call while the response to its first probe is outstanding: a few round trips.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 60 * time.Millisecond
	// minUntrackedDecay is how long untracked results are assumed to hold space at first: requests release their results
	// in about this time.
	minUntrackedDecay = 800 * time.Millisecond
	// sharedPeriod is how long after a call of another dispatcher a target is expected to have further ones: the time of a
	// few calls.
	sharedPeriod = time.Second
	// networkMargin is the time that a call and its response spend on the network.
	networkMargin = 5 * time.Millisecond
	// grantTime is how long a granted call may be started: a call of pieces that arrive a little later, but not one after the
	// process has been paused.
	grantTime = 500 * time.Millisecond
)

// targetState is the scheduler's view of one target.
type targetState struct {
	target       registry.Target
	busy         bool
	freeAt       time.Time
	backoffUntil time.Time
	// pausedUntil is until when the target wants no calls.
	pausedUntil time.Time
	// limit is the target's limit. isAsked is set while a grant is asked for, askAt is when that may be done again, and a call is
	// granted until grantedUntil.
	limit        Limit
	isAsked      bool
	askAt        time.Time
	grantedUntil time.Time
	failures     int
	// slowRatio is the ratio of measured to expected call time, as of measuredAt.
	slowRatio  float64
	measuredAt time.Time
	held       map[string]heldResult
	heldBytes  int64
	// lastCallBytes is the space that was reserved for the results of the last call.
	lastCallBytes int64
	// untracked is the space that untracked results held at untrackedAt; it decays to 0 over untrackedDecay as they are
	// released or expire.
	untracked      int64
	untrackedAt    time.Time
	untrackedDecay time.Duration
	// leftAt is when the target could no longer be used.
	leftAt time.Time
	// added is when the scheduler learned of the target, and probedAt when its space was last asked for. probed is set
	// once the target has responded or the probe has failed.
	added    time.Time
	probedAt time.Time
	probed   bool
	// noSpaceAt is the time of the last call that found no space for a result.
	noSpaceAt time.Time
	// sharedAt is when the target last had, or may have had, a call of another dispatcher; aloneAt is when a call last showed that it
	// had none.
	sharedAt time.Time
	aloneAt  time.Time
	// speed is how long work takes at the target. At reportedAt it had calls of others, as many as it reported, and so many slots.
	speed      speed.Speed
	others     int
	slots      int
	reportedAt time.Time
}

// Limit is the limit of a target; the zero value is none.
type Limit struct {
	// Interval is the time between two calls at the limit.
	Interval time.Duration
}

// IsSet reports whether calls have to be granted.
func (l Limit) IsSet() bool { return l.Interval > 0 }

// hasGrant reports whether a call may be started as far as the target's limit goes.
func (s *targetState) hasGrant(now time.Time) bool {
	return !s.limit.IsSet() || now.Before(s.grantedUntil)
}

// heldResult is one tracked result at a target.
type heldResult struct {
	bytes     int64
	expiresAt time.Time
}

// slowRatio returns the ratio of the measured to the expected time of a call.
func slowRatio(measured, expected time.Duration) float64 {
	ratio := float64(measured) / float64(expected)
	if measured-expected < slowMargin {
		return min(ratio, unremarkable)
	}
	return ratio
}

// slowness returns the ratio of measured to expected call time, which decays to 1.
func (s *targetState) slowness(now time.Time) float64 {
	if s.slowRatio <= 1 {
		return 1
	}
	excess := s.slowRatio - 1
	for t := now.Sub(s.measuredAt); t > slownessHalfLife; t -= slownessHalfLife {
		excess /= 2
	}
	return 1 + excess
}

// isSlow reports whether the target has become slow.
func (s *targetState) isSlow(now time.Time) bool { return s.slowness(now) >= slowThreshold }

// nextStart returns when the target can start a call.
func (s *targetState) nextStart(now time.Time) time.Time {
	at := now
	if s.busy {
		at = s.freeAt
	}
	for _, until := range []time.Time{s.backoffUntil, s.pausedUntil} {
		if until.After(at) {
			at = until
		}
	}
	if !s.hasGrant(now) && s.askAt.After(at) {
		at = s.askAt
	}
	return at
}

// unavailable reports whether the target gets no calls at now, after a failure or at its own wish.
func (s *targetState) unavailable(now time.Time) bool {
	return now.Before(s.backoffUntil) || now.Before(s.pausedUntil)
}

// recordNoSpace records that a call found no space for a result, so that untracked results hold the given bytes.
//
// This happens after a dispatcher has taken over from another node. The results of that node's calls stay until their
// requests have ended or, if the requests' nodes are lost too, until the results expire. Only another call shows which
// of the two applies; the interval between such calls doubles each time that there is no space.
func (s *targetState) recordNoSpace(now time.Time, profile route.BatchProfile, untracked int64) {
	if s.untrackedDecay == 0 || now.Sub(s.noSpaceAt) > 2*s.untrackedDecay {
		s.untrackedDecay = minUntrackedDecay
	} else {
		s.untrackedDecay = min(2*s.untrackedDecay, profile.ResultTTL)
	}
	s.untracked, s.untrackedAt = max(0, untracked), now
	s.noSpaceAt = now
}

// recordAllFit records that all results of a call found space.
func (s *targetState) recordAllFit(profile route.BatchProfile) {
	s.untracked = min(s.untracked, max(0, profile.ResultSpace-s.heldBytes))
}

// untrackedBytes returns the space that untracked results are assumed to hold at now.
func (s *targetState) untrackedBytes(now time.Time) int64 {
	left := s.untrackedDecay - now.Sub(s.untrackedAt)
	if s.untracked == 0 || left <= 0 {
		return 0
	}
	return int64(float64(s.untracked) * left.Seconds() / s.untrackedDecay.Seconds())
}

// ready reports whether enough is known of the target's space for a call.
func (s *targetState) ready(now time.Time) bool {
	return s.probed || s.limit.IsSet() || now.Sub(s.added) >= probeTimeout
}

// startsAtOnce reports whether a call is expected to start at once, without waiting for a call of another dispatcher. That is known from
// calls of the last sharedPeriod only: a dispatcher that has just taken over, or has had nothing to do, may share its targets with others.
func (s *targetState) startsAtOnce(now time.Time) bool {
	return now.Sub(s.aloneAt) < sharedPeriod && now.Sub(s.sharedAt) >= sharedPeriod
}

// recordSharing records what a call shows of calls of other dispatchers: the target's report of them, and the time that the call took, since
// a call that has waited for another one may end when no other is left.
func (s *targetState) recordSharing(now time.Time, ratio float64, r Reply) {
	if r.Running+r.Waiting > 0 || ratio >= slowThreshold {
		s.sharedAt = now
		return
	}
	s.aloneAt = now
}

// usedBytes drops expired results and returns the bytes that tracked and untracked results hold at the target.
func (s *targetState) usedBytes(now time.Time) int64 {
	for h, r := range s.held {
		if now.After(r.expiresAt) {
			delete(s.held, h)
			s.heldBytes -= r.bytes
		}
	}
	return s.heldBytes + s.untrackedBytes(now)
}

// releaseResults records that the target no longer holds the results with these handles, and returns their bytes.
func (s *targetState) releaseResults(handles []string) (bytes int64) {
	for _, h := range handles {
		if held, ok := s.held[h]; ok {
			delete(s.held, h)
			s.heldBytes -= held.bytes
			bytes += held.bytes
		}
	}
	return bytes
}

// hasRoom reports whether the results at the target leave space for those of two more calls like the last one, so that none of them has to go
// before its readers have ended.
func (s *targetState) hasRoom(now time.Time, profile route.BatchProfile) bool {
	return s.usedBytes(now)+2*s.lastCallBytes <= profile.ResultSpace
}

// preferredTo reports whether the target takes the next call rather than b if neither is avoided, or both are.
func (s *targetState) preferredTo(b *targetState) bool {
	// A grant that is not used is lost.
	if s.limit.IsSet() != b.limit.IsSet() {
		return s.limit.IsSet()
	}
	if s.heldBytes != b.heldBytes {
		return s.heldBytes < b.heldBytes
	}
	return s.target.ID < b.target.ID
}
