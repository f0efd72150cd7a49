package notice

import (
	"maps"
	"math"
	"time"
)

const (
	// limitRetention is how long a limit holds that no response repeats; a target whose limit is in use is asked every few
	// seconds.
	limitRetention = 10 * time.Minute
	// endedRetention is how long the end of a limit is remembered, so that older responses which arrive later do not bring
	// the limit back.
	endedRetention = 30 * time.Second
	// maxLimit is the number of requests a second from which a limit is taken as none: more than any target serves.
	maxLimit = 10_000
)

// Limit is the notice of a target that takes no more than PerSecond requests a second from all nodes together, for as long
// as its responses say so; an infinite limit is none.
type Limit struct{ PerSecond float64 }

// Unlimited is the limit of a target that names none.
var Unlimited = Limit{PerSecond: math.Inf(1)}

func (Limit) notice() {}

// IsSet reports whether the limit bounds anything.
func (l Limit) IsSet() bool { return l.PerSecond < maxLimit }

// LimitReport is what the response to one request says of its target's limit.
type LimitReport struct {
	Target Target
	Limit  Limit
	// SentAt is when the request was sent, HeardAt when the header of its response was received. A report is older than
	// another one for certain only if it was received before the other one's request was sent.
	SentAt  time.Time
	HeardAt time.Time
}

// replaces reports whether r replaces what is known: it is newer, or it may be and is stricter.
func (r LimitReport) replaces(known LimitReport) bool {
	if !r.SentAt.Before(known.HeardAt) {
		return true
	}
	return r.Limit.PerSecond < known.Limit.PerSecond && r.HeardAt.After(known.SentAt)
}

// knownLimit is the latest report on a target.
type knownLimit struct {
	LimitReport
	// changedAt is when this node learned of the limit, or of its end.
	changedAt time.Time
}

func (k knownLimit) isExpired(now time.Time) bool {
	if k.Limit.IsSet() {
		return now.Sub(k.HeardAt) > limitRetention
	}
	return now.Sub(k.changedAt) > endedRetention
}

// WithLimit returns the board with a report, and reports whether it changes the limit of its target.
//
// Responses on different connections overtake each other, and other nodes pass on what they heard some time ago. So a report
// counts only if it is newer; of two whose order is not known, the stricter one holds until a later response settles it.
func (b Board) WithLimit(now time.Time, r LimitReport) (Board, bool) {
	if !r.Limit.IsSet() {
		r.Limit = Unlimited
	}
	known, ok := b.limits[r.Target]
	if ok && known.isExpired(now) {
		ok = false
	}
	x := knownLimit{LimitReport: r, changedAt: now}
	switch {
	case !ok && !r.Limit.IsSet():
		return b, false
	case !ok:
	case r.Limit == known.Limit:
		if !r.HeardAt.After(known.HeardAt) || !r.Limit.IsSet() {
			return b, false
		}
		x.changedAt = known.changedAt
		if r.SentAt.Before(known.SentAt) {
			x.SentAt = known.SentAt
		}
	case !r.replaces(known.LimitReport):
		return b, false
	case r.HeardAt.Before(known.HeardAt):
		x.HeardAt = known.HeardAt
	}
	limits := make(map[Target]knownLimit, len(b.limits)+1)
	maps.Copy(limits, b.limits)
	maps.DeleteFunc(limits, func(_ Target, k knownLimit) bool { return k.isExpired(now) })
	limits[r.Target] = x
	b.limits = limits
	return b, !ok || known.Limit != r.Limit
}

// Limit returns the limit of a target at now, Unlimited if it has named none.
func (b Board) Limit(now time.Time, t Target) Limit {
	if k, ok := b.limits[t]; ok && !k.isExpired(now) {
		return k.Limit
	}
	return Unlimited
}

// limitEnded reports whether the limit of a target has ended within RecoveryTime before now.
func (b Board) limitEnded(now time.Time, t Target) bool {
	k, ok := b.limits[t]
	return ok && !k.Limit.IsSet() && now.Sub(k.changedAt) < RecoveryTime
}

// LimitReport returns the latest report on a target; false if it has named no limit.
func (b Board) LimitReport(now time.Time, t Target) (LimitReport, bool) {
	k, ok := b.limits[t]
	return k.LimitReport, ok && !k.isExpired(now)
}

// LimitNews lists the reports of the latest changes, for other nodes.
func (b Board) LimitNews(now time.Time) []LimitReport {
	var list []LimitReport
	for _, k := range b.limits {
		if now.Sub(k.changedAt) < newsPeriod && !k.isExpired(now) {
			list = append(list, k.LimitReport)
		}
	}
	return list
}

// ExpiredLimits lists the targets whose limit has run out because no response has repeated it, and the board without them.
func (b Board) ExpiredLimits(now time.Time) (Board, []Target) {
	var expired []Target
	for t, k := range b.limits {
		if k.Limit.IsSet() && k.isExpired(now) {
			expired = append(expired, t)
		}
	}
	if len(expired) == 0 {
		return b, nil
	}
	b.limits = maps.Clone(b.limits)
	for _, t := range expired {
		delete(b.limits, t)
	}
	return b, expired
}
