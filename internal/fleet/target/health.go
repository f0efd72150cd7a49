package target

import "time"

// Phase says whether a target has proven what it bears.
type Phase string

// The phases of a target.
const (
	Cold Phase = "cold"
	Warm Phase = "warm"
)

const (
	errorRun      = 3
	slowRun       = 8
	slowFactor    = 4
	slowFloor     = 50 * time.Millisecond
	crowdedFactor = 2
	idleBound     = 10 * time.Minute
)

// Bounds are what the operators say of a pool's targets.
type Bounds struct {
	// ColdLimit is how many requests at once a cold target bears.
	ColdLimit int
	// AnswersPerStep is how many answers in a row prove the next step.
	AnswersPerStep int
	// WarmLimit is how many requests at once a warm target bears.
	WarmLimit int
}

// Health is what is known of one target.
type Health struct {
	Phase Phase `json:"phase"`
	// ConcurrencyLimit is how many requests the target may have at once.
	ConcurrencyLimit int `json:"level"`
	// BootID is what the target calls its own start.
	BootID string `json:"boot"`

	streak int
	errors int
	slow   int
	// base is the usual latency, round the sum over the current round of answers.
	base  time.Duration
	round time.Duration
	last  time.Time
}

// New is the health of a target nothing is known of.
func New(b Bounds) Health {
	return Health{Phase: Cold, ConcurrencyLimit: b.ColdLimit}
}

// ResetToCold gives the health of a target that has turned cold.
func (h Health) ResetToCold(b Bounds) Health {
	return Health{Phase: Cold, ConcurrencyLimit: b.ColdLimit, BootID: h.BootID, last: h.last}
}

// Clamped fits the health to bounds that operators may have changed.
func (h Health) Clamped(b Bounds) Health {
	h.ConcurrencyLimit = max(1, min(h.ConcurrencyLimit, b.WarmLimit))
	if h.Phase == Cold && h.streak == 0 && h.ConcurrencyLimit < b.ColdLimit {
		h.ConcurrencyLimit = b.ColdLimit
	}
	return h
}

// Idled gives the health before a send at now: a target left alone for long counts as cold.
func (h Health) Idled(now time.Time, b Bounds) Health {
	if h.last.IsZero() || now.Sub(h.last) < idleBound {
		return h
	}
	h = h.ResetToCold(b)
	h.last = now
	return h
}

// Booted gives the health after the target named its boot.
func (h Health) Booted(boot string, b Bounds) Health {
	if boot == "" || boot == h.BootID {
		return h
	}
	if h.BootID != "" {
		h = h.ResetToCold(b)
	}
	h.BootID = boot
	return h
}

// Answered gives the health after a whole answer with its time to the first event.
func (h Health) Answered(now time.Time, first time.Duration, boot string, b Bounds) Health {
	h = h.Booted(boot, b)
	h.last = now
	h.errors = 0
	if h.base > 0 && first > slowFactor*h.base+slowFloor {
		h.slow++
	} else {
		h.slow = 0
	}
	if h.slow >= slowRun {
		return h.ResetToCold(b)
	}
	h.streak++
	h.round += first
	if h.streak < max(b.AnswersPerStep, h.ConcurrencyLimit) {
		return h
	}
	return h.stepped(b)
}

// stepped ends a round of answers: the level moves by one step.
func (h Health) stepped(b Bounds) Health {
	mean := h.round / time.Duration(h.streak)
	crowded := h.base > 0 && mean > crowdedFactor*h.base+slowFloor
	h.streak, h.round = 0, 0
	switch {
	case h.Phase == Cold:
		h.ConcurrencyLimit = min(b.WarmLimit, 2*h.ConcurrencyLimit)
	case crowded:
		h.ConcurrencyLimit = max(b.ColdLimit, h.ConcurrencyLimit*9/10)
	default:
		h.ConcurrencyLimit = min(b.WarmLimit, h.ConcurrencyLimit+1)
	}
	if h.ConcurrencyLimit == b.WarmLimit {
		h.Phase = Warm
	}
	if h.base == 0 || mean < h.base {
		h.base = mean
	} else {
		h.base += (mean - h.base) / 32
	}
	return h
}

// Errored gives the health after an attempt that brought no whole answer.
func (h Health) Errored(now time.Time, b Bounds) Health {
	h.last = now
	h.streak, h.round = 0, 0
	h.errors++
	if h.errors < errorRun {
		return h
	}
	return h.ResetToCold(b)
}

// Unreached gives the health after the target refused a connection: what comes back next is a cold start.
func (h Health) Unreached(now time.Time, b Bounds) Health {
	h = h.ResetToCold(b)
	h.last = now
	return h
}
