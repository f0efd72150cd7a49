package intake

import "time"

// ID identifies a connection.
type ID uint64

// Phase is what a connection does.
type Phase string

const (
	// Opened connections have brought nothing yet.
	Opened Phase = "opened"
	// Idle connections wait for a further request.
	Idle Phase = "idle"
	// Reading connections bring a head or a body.
	Reading Phase = "reading"
	// Serving connections have brought a whole request, which may run.
	Serving Phase = "serving"
	// Writing connections have a response written to them, with progress when the phase began.
	Writing Phase = "writing"
)

// Use is what bytes are held for.
type Use string

const (
	// ForRequest is for heads and bodies, which can be rejected.
	ForRequest Use = "request"
	// ForResponse is for responses to requests that have run.
	ForResponse Use = "response"
)

// Limits are the bounds of a Budget. A bound of 0 does not apply.
type Limits struct {
	// Bytes bounds what all requests and responses hold, Connections the open connections.
	Bytes       int64
	Connections int
	// ReadTime is how long a request may take to arrive, and a connection may say nothing, before others may have its place; StallTime
	// is the same for a response that is not read.
	ReadTime, StallTime time.Duration
	// Wait is how long a request waits for room before it is rejected.
	Wait time.Duration
}

// smallBytes is what a connection may hold to count as small. Small ones may use all bytes of a budget, so that ordinary requests
// find room beside large ones.
const smallBytes = 64 << 10

// searchInterval is the time between two searches among all connections for one to close, since very many may wait.
const searchInterval = 20 * time.Millisecond

// share returns the part of the budget that large requests and responses may use. Requests get less, since the responses of those
// that run need room to end.
func (l Limits) share(use Use) int64 {
	if use == ForRequest {
		return l.Bytes * 3 / 4
	}
	return l.Bytes * 7 / 8
}

// Decision is what becomes of a connection, or of a wish for bytes.
type Decision interface{ isDecision() }

// Grant gives what was asked for.
type Grant struct{}

// Wait means that there is no room now.
type Wait struct{}

// Evict means that there is room once another connection is closed, which is in the phase named. The one that asks has to ask again for
// bytes; a connection is granted.
type Evict struct {
	Victim ID
	Phase  Phase
}

// Reject means that there is no room.
type Reject struct{}

func (Grant) isDecision()  {}
func (Wait) isDecision()   {}
func (Evict) isDecision()  {}
func (Reject) isDecision() {}

type state struct {
	phase    Phase
	since    time.Time
	held     int64
	isEnding bool
	// isWaiting is set while the connection waits for bytes.
	isWaiting bool
}

// Budget decides on the bytes and connections of a node. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	conns  map[ID]*state
	// held are all bytes, endingBytes and endingConns those of connections that are being closed for others.
	held, endingBytes int64
	endingConns       int
	// searchAt is when a connection to close is looked for again after none was found, for those that need much and for the others.
	searchAt map[bool]time.Time
}

// NewBudget returns an empty budget.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, conns: map[ID]*state{}, searchAt: map[bool]time.Time{}}
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 { return b.held }

// Connections returns the number of open connections.
func (b *Budget) Connections() int { return len(b.conns) }

// Open decides on a new connection.
func (b *Budget) Open(now time.Time, id ID) Decision {
	isFull := b.limits.Connections > 0 && len(b.conns)-b.endingConns >= b.limits.Connections
	if !isFull {
		b.conns[id] = &state{phase: Opened, since: now}
		return Grant{}
	}
	for _, phases := range [][]Phase{{Opened, Reading}, {Idle}, {Writing}} {
		if victim, ok := b.oldest(now, id, 0, phases); ok {
			b.conns[id] = &state{phase: Opened, since: now}
			return b.evict(victim)
		}
	}
	return Reject{}
}

// Acquire decides on n more bytes for a connection that has waited for them since a time.
func (b *Budget) Acquire(now time.Time, id ID, n int64, use Use, since time.Time) Decision {
	c, ok := b.conns[id]
	if !ok || c.isEnding {
		return Reject{}
	}
	if b.fits(c, n, use) {
		return b.grant(c, n)
	}
	c.isWaiting = true
	if b.endingBytes >= n {
		return Wait{}
	}
	if isMuch := n >= smallBytes; !now.Before(b.searchAt[isMuch]) {
		if victim, ok := b.oldest(now, id, min(n, smallBytes), []Phase{Reading, Idle, Writing}); ok {
			return b.evict(victim)
		}
		b.searchAt[isMuch] = now.Add(searchInterval)
	}
	switch {
	case use == ForResponse && b.isLargestOfWaiting(id, c):
		// All that hold bytes wait for more, and none of them would ever end.
		return b.grant(c, n)
	case use == ForRequest && now.Sub(since) >= b.limits.Wait:
		c.isWaiting = false
		return Reject{}
	default:
		return Wait{}
	}
}

// fits reports whether a connection may hold n more bytes. One that has the budget almost to itself may hold any number, so that
// each request inside the operators' limits is served in calm.
func (b *Budget) fits(c *state, n int64, use Use) bool {
	switch {
	case b.limits.Bytes == 0, b.held-c.held <= b.limits.Bytes/8:
		return true
	case c.held+n <= smallBytes:
		return b.held+n <= b.limits.Bytes
	default:
		return b.held+n <= b.limits.share(use)
	}
}

func (b *Budget) grant(c *state, n int64) Decision {
	c.isWaiting = false
	c.held += n
	b.held += n
	return Grant{}
}

// isLargestOfWaiting reports whether all connections that hold bytes wait for more, and the one with an ID holds the most. The same one
// stays the largest until it ends, so that only one is beyond the bound.
func (b *Budget) isLargestOfWaiting(id ID, largest *state) bool {
	for other, c := range b.conns {
		if other == id || c.held == 0 {
			continue
		}
		if !c.isWaiting || c.held > largest.held || (c.held == largest.held && other < id) {
			return false
		}
	}
	return true
}

// oldest returns the connection that has been longest in one of the phases, of those that hold a number of bytes and have had their time.
func (b *Budget) oldest(now time.Time, except ID, held int64, phases []Phase) (victim ID, ok bool) {
	var since time.Time
	for id, c := range b.conns {
		if id == except || c.isEnding || c.held < held || !contains(phases, c.phase) {
			continue
		}
		patience := b.limits.ReadTime
		if c.phase == Writing {
			patience = b.limits.StallTime
		}
		if now.Sub(c.since) < patience || (ok && !c.since.Before(since)) {
			continue
		}
		victim, since, ok = id, c.since, true
	}
	return victim, ok
}

func contains(phases []Phase, p Phase) bool {
	for _, x := range phases {
		if x == p {
			return true
		}
	}
	return false
}

func (b *Budget) evict(id ID) Decision {
	c := b.conns[id]
	c.isEnding = true
	b.endingConns++
	b.endingBytes += c.held
	return Evict{Victim: id, Phase: c.phase}
}

// Release gives back some bytes of a connection.
func (b *Budget) Release(id ID, n int64) {
	c, ok := b.conns[id]
	if !ok {
		return
	}
	n = min(n, c.held)
	c.held -= n
	b.held -= n
	if c.isEnding {
		b.endingBytes -= n
	}
}

// SetPhase records what a connection does from a time on. It returns false if the connection is being closed for others.
func (b *Budget) SetPhase(now time.Time, id ID, p Phase) bool {
	c, ok := b.conns[id]
	if !ok || c.isEnding {
		return false
	}
	c.phase, c.since, c.isWaiting = p, now, false
	return true
}

// Phase returns what a connection does, "" if it is closed.
func (b *Budget) Phase(id ID) Phase {
	if c, ok := b.conns[id]; ok {
		return c.phase
	}
	return ""
}

// Close gives back all that a connection holds.
func (b *Budget) Close(id ID) {
	c, ok := b.conns[id]
	if !ok {
		return
	}
	b.Release(id, c.held)
	if c.isEnding {
		b.endingConns--
	}
	delete(b.conns, id)
}
