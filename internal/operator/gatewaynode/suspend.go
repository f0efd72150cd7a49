package gatewaynode

import (
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// suspendTolerance is how far the two clocks may drift apart between two readings without a suspension of the VM.
const suspendTolerance = 20 * time.Millisecond

// suspendClock finds out for how long the VM was suspended: the steady clock stands still then, and the platform's clock does not. The
// zero value begins with the first reading.
type suspendClock struct {
	offset time.Duration
	isSet  bool
}

// Lost returns for how long the VM was suspended since the last call.
func (c *suspendClock) Lost() (time.Duration, error) {
	steady, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, err
	}
	sinceBoot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, err
	}
	return c.record(steady, sinceBoot), nil
}

// record returns the time lost since the last reading of both clocks.
func (c *suspendClock) record(steady, sinceBoot time.Duration) time.Duration {
	offset := sinceBoot - steady
	if !c.isSet {
		c.offset, c.isSet = offset, true
		return 0
	}
	lost := offset - c.offset
	if lost <= suspendTolerance {
		return 0
	}
	c.offset = offset
	return lost
}

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, merry.Prepend(err, "read clock")
	}
	return time.Duration(t.Nano()), nil
}
