package dispatch

import (
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

const (
	// shunSilent is how long a node that fell silent is passed over at first, since every question to it costs a wait;
	// it doubles up to shunMax, so that the entry of a node that is gone for good costs little.
	shunSilent = 2 * time.Second
	shunMax    = 16 * time.Second
	// shunRefused is how long a node is passed over that says at once that it cannot do the work, or whose process is
	// gone: it is back within a second, and all nodes must come back to the same desk soon, since two desks fill the
	// same targets badly.
	shunRefused = 500 * time.Millisecond
)

// shun is how often one run of a node did not answer in a row, and from when until when it is passed over.
type shun struct {
	born  int64
	fails int
	from  time.Time
	until time.Time
}

// passes tells whether a node is passed over at now. A node that has started again is not.
func (x shun) passes(now time.Time, n registry.Node) bool {
	return x.born == n.StartedAt && now.Before(x.until)
}

// after gives the shun once a question asked at a time has failed by now.
//
// It answers a desk that is lost with many groups at once: their failures are one event.
func (x shun) after(asked, now time.Time, n registry.Node, err error) shun {
	if x.born != n.StartedAt {
		x = shun{born: n.StartedAt}
	}
	if asked.Before(x.from) {
		return x
	}
	x.from = now
	if refusedAtOnce(err) {
		x.until = now.Add(shunRefused)
		return x
	}
	x.fails++
	x.until = now.Add(min(shunMax, shunSilent<<min(x.fails-1, 8)))
	return x
}

// refusedAtOnce tells a process that is gone or declines from a machine that does not answer.
func refusedAtOnce(err error) bool {
	return errors.Is(err, errDeclined) || status.Code(err) == codes.Unavailable
}
