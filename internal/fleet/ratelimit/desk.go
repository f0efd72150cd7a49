package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
)

const (
	// maxClaims bounds the claims that wait at a desk.
	maxClaims = 256
	// maxPromise bounds how far ahead a rejected claim is told to come back.
	maxPromise = 30 * time.Second
	// maxPolls bounds the grants after the next one for whose time claims are told to ask again whose requests go elsewhere.
	maxPolls = 2
	// announcedLead is how far ahead the place of an announced claim is kept: one that is due sooner goes to a claim that
	// waits.
	announcedLead = 50 * time.Millisecond
	// announcedGrace is how long after its time an announced claim counts.
	announcedGrace = 300 * time.Millisecond
	// idlePacer is how long the pacer of a target without claims is kept.
	idlePacer = time.Minute
)

// Desk decides on the claims for one keeper's part of the limits of a pool.
//
// Load pattern: a pool whose targets take less than what comes. Each grant goes to the claim that precedes the others, so the
// claims that would wait too long are known as soon as they come, and are rejected at once with the time at which the limits
// leave room for them. The times are spaced by the limits, so that callers who come back find that room.
type Desk struct {
	// phase is the part of an interval after which the first grant for a target is due: different keepers of a pool have
	// different ones.
	phase  float64
	claims []Claim
	pacers map[notice.Target]Pacer
	// promised is until when callers that were rejected have been told to come back, by the rank of their claims; polled is the
	// same of claims whose requests go elsewhere.
	promised [2 * priorities]time.Time
	polled   [2 * priorities]time.Time
	// polls holds what each of the latter was told, by the ID of its claim.
	polls map[string]time.Time
}

// NewDesk returns the desk of the keeper with a rank.
func NewDesk(rank int) *Desk {
	return &Desk{phase: float64(rank%keeperCount+1) / keeperCount, pacers: map[notice.Target]Pacer{}, polls: map[string]time.Time{}}
}

// Add adds a claim, on which Settle decides.
func (d *Desk) Add(c Claim) {
	d.Withdraw(c.ID)
	i, _ := slices.BinarySearchFunc(d.claims, c, func(a, b Claim) int {
		if b.precedes(a) {
			return 1
		}
		return -1
	})
	d.claims = slices.Insert(d.claims, i, c)
}

// Withdraw removes a claim whose request is gone.
func (d *Desk) Withdraw(id string) {
	d.claims = slices.DeleteFunc(d.claims, func(c Claim) bool { return c.ID == id })
}

// Len returns the number of claims that wait or are announced.
func (d *Desk) Len() int { return len(d.claims) }

// Settle decides on the claims that can be decided at now. rate returns this keeper's grants a second for a target, +Inf if it
// has no limit. next is when to decide again, the zero time if no claim waits.
func (d *Desk) Settle(now time.Time, rate func(notice.Target) float64) (settled []Settlement, next time.Time) {
	d.updatePacers(now, rate)
	plan := plan{now: now, desk: d, taken: map[notice.Target]map[int]bool{}}
	kept := d.claims[:0:0]
	for i, c := range d.claims {
		if c.isAnnounced() && now.After(c.ReadyAt.Add(announcedGrace)) {
			continue
		}
		if slices.ContainsFunc(c.Targets, func(t notice.Target) bool { return math.IsInf(rate(t), 1) }) {
			settled = append(settled, Settlement{ID: c.ID, Decision: Lifted{}})
			continue
		}
		t, at := plan.place(c)
		switch {
		case i >= maxClaims || at.After(c.StartBy) && at.After(now):
			settled = append(settled, Settlement{ID: c.ID, Decision: Rejected{RetryAfter: d.promise(now, at, c)}})
			plan.release(t)
			continue
		case c.isAnnounced():
			kept = append(kept, c)
		case !at.After(now):
			settled = append(settled, Settlement{ID: c.ID, Decision: Granted{Target: t}})
		default:
			kept = append(kept, c)
			if next.IsZero() || at.Before(next) {
				next = at
			}
		}
	}
	d.claims = kept
	for _, s := range settled {
		if g, ok := s.Decision.(Granted); ok {
			d.pacers[g.Target] = d.pacers[g.Target].WithSend(now)
			delete(d.polls, s.ID)
		}
	}
	return settled, next
}

// Prepare starts to space the sends to a target from now, before the first claim: what a keeper would have granted until then is
// lost otherwise. rate is this keeper's grants a second, +Inf if the target has no limit.
func (d *Desk) Prepare(now time.Time, t notice.Target, rate float64) {
	p, ok := d.pacers[t]
	switch {
	case math.IsInf(rate, 1):
		delete(d.pacers, t)
	case ok:
		d.pacers[t] = p.WithRate(rate)
	default:
		d.pacers[t] = NewPacer(now, rate, d.phase)
	}
}

// updatePacers brings the pacers of the claimed targets to their current rates.
func (d *Desk) updatePacers(now time.Time, rate func(notice.Target) float64) {
	for _, c := range d.claims {
		for _, t := range c.Targets {
			d.Prepare(now, t, rate(t))
		}
	}
	maps.DeleteFunc(d.polls, func(_ string, at time.Time) bool { return at.Before(now) })
	maps.DeleteFunc(d.pacers, func(_ notice.Target, p Pacer) bool { return now.Sub(p.due) > idlePacer && now.Sub(p.last) > idlePacer })
}

// promise returns after what time a claim like c that cannot be granted before at should come back.
func (d *Desk) promise(now, at time.Time, c Claim) time.Duration {
	total := 0.0
	for _, t := range c.Targets {
		total += d.pacers[t].rate
	}
	interval := time.Duration(float64(time.Second) / total)
	taken, latest := &d.promised, c.ReturnBy
	if c.ReturnBy.IsZero() {
		// One that asks again too early keeps its place.
		if told, ok := d.polls[c.ID]; ok {
			back := told
			if back.Before(at) {
				back = at
			}
			return min(back.Sub(now), maxPromise)
		}
		// Those that come earlier may take what was meant for them elsewhere, so few are told a time behind the next grant.
		taken, latest = &d.polled, at.Add(maxPolls*interval)
	}
	back := at
	for _, until := range taken[:c.Rank()+1] {
		if after := until.Add(interval); after.After(back) {
			back = after
		}
	}
	// A caller that cannot come back then takes no place from others.
	if !back.After(latest) {
		taken[c.Rank()] = back
	} else if c.ReturnBy.IsZero() {
		back = latest
	}
	if c.ReturnBy.IsZero() {
		d.polls[c.ID] = back
	}
	return min(back.Sub(now), maxPromise)
}

// plan assigns the coming grants to claims in their order.
type plan struct {
	now   time.Time
	desk  *Desk
	taken map[notice.Target]map[int]bool
	// last is the slot that was assigned last.
	last int
}

// place assigns the earliest grant that a claim can use, and returns its target and time.
func (p *plan) place(c Claim) (best notice.Target, at time.Time) {
	earliest := p.now
	if c.isAnnounced() {
		earliest = c.ReadyAt
		if lead := p.now.Add(announcedLead); earliest.Before(lead) {
			earliest = lead
		}
	}
	for _, t := range c.Targets {
		x := p.desk.pacers[t]
		k := p.freeSlot(t, x.lastSlot(p.now, earliest))
		slot := x.slot(p.now, k)
		if slot.Before(earliest) {
			slot = earliest
		}
		if at.IsZero() || slot.Before(at) {
			best, at, p.last = t, slot, k
		}
	}
	if p.taken[best] == nil {
		p.taken[best] = map[int]bool{}
	}
	p.taken[best][p.last] = true
	return best, at
}

// freeSlot returns the last grant up to k that is not assigned, or the first one after it.
func (p *plan) freeSlot(t notice.Target, k int) int {
	for earlier := k; earlier >= 0; earlier-- {
		if !p.taken[t][earlier] {
			return earlier
		}
	}
	for p.taken[t][k] {
		k++
	}
	return k
}

// release gives back the grant that was assigned last.
func (p *plan) release(t notice.Target) { delete(p.taken[t], p.last) }
