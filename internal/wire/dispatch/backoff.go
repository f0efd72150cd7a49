package dispatch

import (
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

const (
	// unresponsiveBackoff is the first back-off of a node that stopped responding, since every request to it costs a
	// timeout. It doubles up to maxBackoff, so that a node that stays in the registry after it is lost costs little.
	unresponsiveBackoff = 2 * time.Second
	maxBackoff          = 16 * time.Second
	// refusedBackoff is the back-off of a node that declines a group at once or whose process is gone. The process is
	// back within a second, and all nodes must return to the same dispatcher soon, since two dispatchers fill the
	// batches of the same targets badly.
	refusedBackoff = 500 * time.Millisecond
)

// nodeBackoff is the number of consecutive failures of one run of a node and the back-off that follows from them.
type nodeBackoff struct {
	startedAt int64
	failures  int
	failedAt  time.Time
	until     time.Time
}

// inBackoff reports whether the node is in back-off at now. A restarted node is not.
func (b nodeBackoff) inBackoff(now time.Time, n registry.Node) bool {
	return b.startedAt == n.StartedAt && now.Before(b.until)
}

// afterFailure returns the back-off after a request that was sent at sentAt has failed at now.
//
// The failures of many groups that are lost with one dispatcher count as one: requests that were sent before the last
// failure add nothing.
func (b nodeBackoff) afterFailure(sentAt, now time.Time, n registry.Node, err error) nodeBackoff {
	if b.startedAt != n.StartedAt {
		b = nodeBackoff{startedAt: n.StartedAt}
	}
	if sentAt.Before(b.failedAt) {
		return b
	}
	b.failedAt = now
	if isImmediateRefusal(err) {
		b.until = now.Add(refusedBackoff)
		return b
	}
	b.failures++
	b.until = now.Add(min(maxBackoff, unresponsiveBackoff<<min(b.failures-1, 8)))
	return b
}

// isImmediateRefusal reports whether the node's process is gone or declines; other errors mean an unresponsive machine.
func isImmediateRefusal(err error) bool {
	return errors.Is(err, errDeclined) || status.Code(err) == codes.Unavailable
}
