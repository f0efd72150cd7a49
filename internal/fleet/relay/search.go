package relay

import (
	"slices"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

const (
	// answerTime is how long a node may take to say how old its view is before the next one is asked, too.
	answerTime = 100 * time.Millisecond
	// silenceTime is how long a substitute may say nothing until it counts as lost: two of its reports.
	silenceTime = 250 * time.Millisecond
	// substituteTime is how long a substitute has for its read of the store before others read it: a list usually takes 4 ms.
	substituteTime = 150 * time.Millisecond
	// substitutesPerDatacentre is the number of nodes of a data centre that read the store in place of its relays before all
	// others do.
	substitutesPerDatacentre = 2
	// outageRetryInterval is the mean time between two reads of a node that waits for others to reach the store.
	outageRetryInterval = 5 * time.Second
	// maxSubstitutes bounds the nodes among which those that are not lost are looked for.
	maxSubstitutes = 8
)

// SubstitutesFor returns the nodes that read the store before a node does while no relay is fresh, best first: those that
// follow the relays in the order of its data centre.
func SubstitutesFor(self string, nodes []registry.Node) []registry.Node {
	i := slices.IndexFunc(nodes, func(n registry.Node) bool { return n.Name == self })
	if i < 0 || len(nodes) < minFleetSize {
		return nil
	}
	ranked := relaysOf(groupByDatacentre(nodes)[nodes[i].Datacentre], relaysPerDatacentre+maxSubstitutes)
	substitutes := ranked[min(relaysPerDatacentre, len(ranked)):]
	if own := slices.IndexFunc(substitutes, func(n registry.Node) bool { return n.Name == self }); own >= 0 {
		return substitutes[:own]
	}
	return substitutes
}

// Step is what a node does next in a Search.
type Step interface{ isStep() }

// Ask asks a node for the age of its view, and for its view once that is fresh.
type Ask struct{ Node registry.Node }

// Read ends the search: the node reads the store itself.
type Read struct{}

// Wait waits until an asked node answers, but no longer than For.
type Wait struct{ For time.Duration }

func (Ask) isStep()  {}
func (Read) isStep() {}
func (Wait) isStep() {}

// Search decides how a node without a relay looks for one. The first node that is asked and has a fresh view ends it.
//
// All followers of a lost relay search at the same moment. If the other relays are late too, beside load, each follower would
// read the store. So one node of a data centre reads it first, and then another one; the others ask these.
type Search struct {
	relays, substitutes []registry.Node
	// readFrom is the earliest time at which the node reads the store.
	readFrom time.Time
	asked    map[string]*answer
	// relaysAskedAt is when no relay was left to wait for, zero before.
	relaysAskedAt time.Time
}

// answer is what is known of an asked node.
type answer struct {
	askedAt, heardAt time.Time
	isReader, isLost bool
}

// NewSearch returns a search among relays and substitutes, each best first, of a node that may read the store from readFrom on.
func NewSearch(relays, substitutes []registry.Node, readFrom time.Time) *Search {
	return &Search{relays: relays, substitutes: substitutes, readFrom: readFrom, asked: map[string]*answer{}}
}

// RecordStale records that a node has said that its view is stale; isReader is set if the node reads the store itself.
func (s *Search) RecordStale(now time.Time, name string, isReader bool) {
	s.asked[name].heardAt, s.asked[name].isReader = now, isReader
}

// RecordLost records that a node cannot be reached.
func (s *Search) RecordLost(name string) { s.asked[name].isLost = true }

// Next returns the next step at now.
func (s *Search) Next(now time.Time) Step {
	for _, r := range s.relays {
		a, ok := s.asked[r.Name]
		if !ok {
			return s.ask(now, r)
		}
		if wait := a.askedAt.Add(answerTime).Sub(now); !a.isLost && a.heardAt.IsZero() && wait > 0 {
			return Wait{wait}
		}
	}
	if s.relaysAskedAt.IsZero() {
		s.relaysAskedAt = now
	}
	ahead := 0
	// check is when a substitute that is silent counts as lost.
	var check time.Time
	for _, n := range s.substitutes {
		if ahead == substitutesPerDatacentre {
			break
		}
		a, ok := s.asked[n.Name]
		if !ok {
			return s.ask(now, n)
		}
		until := later(a.askedAt, a.heardAt).Add(silenceTime)
		if a.isLost || !until.After(now) {
			continue
		}
		ahead++
		if check.IsZero() || until.Before(check) {
			check = until
		}
	}
	readAt := later(s.relaysAskedAt.Add(time.Duration(ahead)*substituteTime), s.readFrom)
	if !readAt.After(now) {
		return Read{}
	}
	if ahead > 0 && check.Before(readAt) {
		return Wait{check.Sub(now)}
	}
	return Wait{readAt.Sub(now)}
}

// HasReader reports whether another node reads the store as soon as that answers.
func (s *Search) HasReader(now time.Time) bool {
	for _, a := range s.asked {
		if a.isReader && !a.isLost && now.Sub(a.heardAt) < heartbeatTimeout {
			return true
		}
	}
	return false
}

// OutageRetry returns how long a node whose read of the store has failed waits for others before it reads again, given a
// random number below 1. Each node would otherwise call a store that is down once a second, and read all of it at its return.
func OutageRetry(random float64) time.Duration {
	return time.Duration((0.8 + 0.4*random) * float64(outageRetryInterval))
}

func (s *Search) ask(now time.Time, n registry.Node) Step {
	s.asked[n.Name] = &answer{askedAt: now}
	return Ask{n}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
