package quarantine

import "time"

// maxKnown bounds each of the two generations of a memory.
const maxKnown = 4096

// memory remembers what had complete responses, in two generations, and when a target first crashed under it since the last response,
// the zero time if none did.
type memory[K comparable] struct {
	known, former map[K]time.Time
}

func (m *memory[K]) add(k K) {
	if at, ok := m.known[k]; ok && at.IsZero() {
		return
	}
	if m.known == nil || len(m.known) >= maxKnown {
		m.known, m.former = make(map[K]time.Time), m.known
	}
	m.known[k] = time.Time{}
}

func (m *memory[K]) has(k K) bool {
	_, ok := m.known[k]
	if !ok {
		_, ok = m.former[k]
	}
	return ok
}

// hasAt reports whether a response speaks for something at the time of a crash. It does for crashes that are one incident: what
// crashes later needs another response to be a surprise.
func (m *memory[K]) hasAt(now time.Time, k K) bool {
	at, ok := m.known[k]
	if !ok {
		at, ok = m.former[k]
	}
	if !ok {
		return false
	}
	if at.IsZero() {
		m.known[k] = now
		return true
	}
	return now.Sub(at) < incidentWindow
}
