package connection

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// unresponsiveBackoff is the first back-off of a node that stopped responding, since every request to it costs a
	// timeout. It doubles up to maxNodeBackoff, so that a node that stays in the registry after it is lost costs little.
	unresponsiveBackoff = 2 * time.Second
	maxNodeBackoff      = 16 * time.Second
	// refusedBackoff is the back-off of a node that declines at once or whose process is gone. The process is back within a
	// second, and all nodes must return to it soon: two dispatchers fill the batches of the same targets badly.
	refusedBackoff = 500 * time.Millisecond
)

// NodeBackoff is the number of consecutive failures of one run of a node and the back-off that follows from them.
type NodeBackoff struct {
	startedAt int64
	failures  int
	failedAt  time.Time
	until     time.Time
}

// Active reports whether the run of the node that started at a time is in back-off at now. A restarted node is not.
func (b NodeBackoff) Active(now time.Time, startedAt int64) bool {
	return b.startedAt == startedAt && now.Before(b.until)
}

// Until returns the end of the back-off.
func (b NodeBackoff) Until() time.Time { return b.until }

// AfterFailure returns the back-off after a request to a run of a node that was sent at sentAt has failed at now. A refusal is
// the failure of a node whose process is gone or declines at once; others mean an unresponsive machine.
//
// The failures of many requests that are lost with one node count as one: requests that were sent before the last failure add
// nothing.
func (b NodeBackoff) AfterFailure(sentAt, now time.Time, startedAt int64, isRefusal bool) NodeBackoff {
	if b.startedAt != startedAt {
		b = NodeBackoff{startedAt: startedAt}
	}
	if sentAt.Before(b.failedAt) {
		return b
	}
	b.failedAt = now
	if isRefusal {
		b.until = now.Add(refusedBackoff)
		return b
	}
	b.failures++
	b.until = now.Add(min(maxNodeBackoff, unresponsiveBackoff<<min(b.failures-1, 8)))
	return b
}

// IsUnavailable reports whether a call failed because the node's process is gone.
func IsUnavailable(err error) bool { return status.Code(err) == codes.Unavailable }
