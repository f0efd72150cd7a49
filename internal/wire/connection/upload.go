package connection

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// upload is the sending of a request, which may go on while the response to it is read.
type upload struct {
	netConn net.Conn
	// ended is closed once nothing more is sent; err is then why not all of the request was, nil if it was.
	ended chan struct{}
	err   error
}

// send starts to send a request. A body that the sockets may not hold is sent beside the reading of the response.
func send(c net.Conn, head, body []byte) *upload {
	u := &upload{netConn: c, ended: make(chan struct{})}
	if len(body) <= readBufferBytes {
		_, u.err = c.Write(append(head, body...))
		close(u.ended)
		return u
	}
	go func() {
		defer close(u.ended)
		_, u.err = (&net.Buffers{head, body}).WriteTo(c)
	}()
	return u
}

// isComplete reports whether the whole request has been sent by now.
func (u *upload) isComplete() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

var errLostWhileSending = errors.New("connection was lost while the request was being sent")

// lossError ends the sending and returns an error if the connection was lost meanwhile. The system tells a loss only once: where the
// writer has been told, the reader sees the connection end as if the peer had closed it.
func (u *upload) lossError() error {
	// An error means that the connection is closed already, which ends the sending too.
	_ = u.netConn.SetWriteDeadline(time.Unix(1, 0))
	<-u.ended
	if u.err == nil || errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, syscall.EPIPE) {
		// EPIPE means that the peer had closed its side before: what was read is what it sent.
		return nil
	}
	return fmt.Errorf("%w: %w", errLostWhileSending, u.err)
}
