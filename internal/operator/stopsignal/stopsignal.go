package stopsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// queued is the number of signals that may wait to be received.
const queued = 4

// received is subscribed while the program is initialized, and this package imports nothing beyond the standard library: libraries that handle
// signals themselves are initialized later and cannot take one that comes early.
var received = subscribe()

func subscribe() <-chan os.Signal {
	c := make(chan os.Signal, queued)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	return c
}

// Received returns the channel of SIGTERM and SIGINT.
func Received() <-chan os.Signal { return received }

// Release lets the signals end the process again, also those that other packages handle.
func Release() { signal.Reset(syscall.SIGTERM, syscall.SIGINT) }
