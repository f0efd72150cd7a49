package target

import "time"

// Phase is the warm-up phase of a target.
type Phase string

// The phases of a target.
const (
	Cold Phase = "cold"
	Warm Phase = "warm"
)

const (
	errorsToCold   = 3
	slowToCold     = 8
	slowFactor     = 4
	latencyMargin  = 50 * time.Millisecond
	overloadFactor = 2
	maxIdle        = 10 * time.Minute
)

// Bounds are the operators' settings for the targets of a pool.
type Bounds struct {
	// ColdLimit is the number of concurrent requests that a cold target can take.
	ColdLimit int
	// SuccessesPerStep is the minimum number of complete responses in a row before the limit moves by one step.
	SuccessesPerStep int
	// WarmLimit is the number of concurrent requests that a warm target can take.
	WarmLimit int
}

// Health is the observed health of one target.
type Health struct {
	Phase Phase `json:"phase"`
	// ConcurrencyLimit is the number of concurrent requests that the target may have.
	ConcurrencyLimit int `json:"level"`
	// BootID is the identifier that the target reports for its own start.
	BootID string `json:"boot"`

	// roundResponses counts the complete responses of the current round, errors and slowResponses those in a row.
	roundResponses int
	errors         int
	slowResponses  int
	// baseline is the usual header latency, latencySum the sum of the current round's header latencies.
	baseline   time.Duration
	latencySum time.Duration
	lastUsed   time.Time
}

// New returns the health of a target of which nothing is known.
func New(b Bounds) Health {
	return Health{Phase: Cold, ConcurrencyLimit: b.ColdLimit}
}

// ResetToCold returns the health of a target that has become cold.
func (h Health) ResetToCold(b Bounds) Health {
	return Health{Phase: Cold, ConcurrencyLimit: b.ColdLimit, BootID: h.BootID, lastUsed: h.lastUsed}
}

// Clamped returns the health with its limit within the bounds, which operators may have changed.
func (h Health) Clamped(b Bounds) Health {
	h.ConcurrencyLimit = max(1, min(h.ConcurrencyLimit, b.WarmLimit))
	if h.Phase == Cold && h.roundResponses == 0 && h.ConcurrencyLimit < b.ColdLimit {
		h.ConcurrencyLimit = b.ColdLimit
	}
	return h
}

// Idled returns the health before a send at now: a target that was idle for long counts as cold.
func (h Health) Idled(now time.Time, b Bounds) Health {
	if h.lastUsed.IsZero() || now.Sub(h.lastUsed) < maxIdle {
		return h
	}
	h = h.ResetToCold(b)
	h.lastUsed = now
	return h
}

// Booted returns the health after the target has reported its boot ID.
func (h Health) Booted(bootID string, b Bounds) Health {
	if bootID == "" || bootID == h.BootID {
		return h
	}
	if h.BootID != "" {
		h = h.ResetToCold(b)
	}
	h.BootID = bootID
	return h
}

// Answered returns the health after a complete response whose header arrived after headerLatency.
func (h Health) Answered(now time.Time, headerLatency time.Duration, bootID string, b Bounds) Health {
	h = h.Booted(bootID, b)
	h.lastUsed = now
	h.errors = 0
	if h.baseline > 0 && headerLatency > slowFactor*h.baseline+latencyMargin {
		h.slowResponses++
	} else {
		h.slowResponses = 0
	}
	if h.slowResponses >= slowToCold {
		return h.ResetToCold(b)
	}
	h.roundResponses++
	h.latencySum += headerLatency
	if h.roundResponses < max(b.SuccessesPerStep, h.ConcurrencyLimit) {
		return h
	}
	return h.stepped(b)
}

// stepped ends a round of responses and moves the limit by one step.
func (h Health) stepped(b Bounds) Health {
	mean := h.latencySum / time.Duration(h.roundResponses)
	isOverloaded := h.baseline > 0 && mean > overloadFactor*h.baseline+latencyMargin
	h.roundResponses, h.latencySum = 0, 0
	switch {
	case h.Phase == Cold:
		h.ConcurrencyLimit = min(b.WarmLimit, 2*h.ConcurrencyLimit)
	case isOverloaded:
		h.ConcurrencyLimit = max(b.ColdLimit, h.ConcurrencyLimit*9/10)
	default:
		h.ConcurrencyLimit = min(b.WarmLimit, h.ConcurrencyLimit+1)
	}
	if h.ConcurrencyLimit == b.WarmLimit {
		h.Phase = Warm
	}
	if h.baseline == 0 || mean < h.baseline {
		h.baseline = mean
	} else {
		h.baseline += (mean - h.baseline) / 32
	}
	return h
}

// Errored returns the health after an attempt without a complete response.
func (h Health) Errored(now time.Time, b Bounds) Health {
	h.lastUsed = now
	h.roundResponses, h.latencySum = 0, 0
	h.errors++
	if h.errors < errorsToCold {
		return h
	}
	return h.ResetToCold(b)
}

// Unreached returns the health after the target refused a connection: its next start is a cold one.
func (h Health) Unreached(now time.Time, b Bounds) Health {
	h = h.ResetToCold(b)
	h.lastUsed = now
	return h
}
