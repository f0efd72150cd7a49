package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writePiece is how many bytes of a response are written before progress is recorded.
	writePiece = 64 << 10
	// rejectTimeout bounds the time to write a rejection, lingerTime and lingerBytes what a client may still send so that the
	// rejection reaches it.
	rejectTimeout = time.Second
	lingerTime    = 250 * time.Millisecond
	lingerBytes   = 256 << 10
	// retryAfter and retryJitter are the time after which rejected clients are asked to come back, and the part over which it is spread.
	retryAfter  = time.Second
	retryJitter = 0.3
	// unlimitedBody stands for a body whose length is not known.
	unlimitedBody = -1
	// carriedLines is how many lines the last read of a body in chunks may have without counting for a request that may follow in it.
	carriedLines = 100
)

// aLongTimeAgo is a deadline that has passed.
var aLongTimeAgo = time.Unix(1, 0)

// Conn is a connection of an HTTP/1.1 client. The server reads heads and bodies through it, never past the end of a head.
type Conn struct {
	net.Conn
	gate *Gate
	id   ID
	// inHead is set while the server reads a head, whose meter and pending bytes only the reader uses.
	inHead  atomic.Bool
	meter   headMeter
	pending []byte
	// hasHead is set if a part of the current head was received.
	hasHead bool
	// bodyLeft is the rest of the current body, carried the cost of lines after a body in chunks.
	bodyLeft int64
	carried  int64
	// held are the bytes of the current request.
	held    atomic.Int64
	isEnded atomic.Bool
	// isOpaque is set if the requests on the connection are not known; it is closed at once for others.
	isOpaque  bool
	deadlines sync.Mutex
	closeOnce sync.Once
}

// NetConn returns the connection without its bounds.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads for the server, and waits for room before more of a head is passed on.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.inHead.Load() {
		return c.readBody(p)
	}
	n, err := c.readRaw(p)
	if n > 0 {
		if !c.hasHead {
			c.hasHead = true
			c.gate.setPhase(c, Reading)
		}
		meter, length, cost := c.meter.with(p[:n])
		if length < n {
			c.pending = append(append([]byte(nil), p[length:n]...), c.pending...)
		}
		c.meter = meter
		if e := c.acquire(context.Background(), cost, ForRequest); e != nil {
			return 0, c.reject(p)
		}
		if meter.isDone {
			// The server reads nothing more before the handler runs.
			c.endHead()
		}
		return length, err
	}
	if err != nil && c.isEnded.Load() {
		return 0, c.reject(p)
	}
	return n, err
}

// readRaw reads what was received with the former request, or from the connection.
func (c *Conn) readRaw(p []byte) (int, error) {
	if len(c.pending) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	return n, nil
}

// readBody reads at most the body, and one byte beyond it, by which the server learns that the client is gone.
func (c *Conn) readBody(p []byte) (int, error) {
	if c.bodyLeft != unlimitedBody {
		p = p[:min(int64(len(p)), max(c.bodyLeft, 1))]
	}
	n, err := c.readRaw(p)
	if c.bodyLeft != unlimitedBody {
		c.bodyLeft = max(0, c.bodyLeft-int64(n))
		return n, err
	}
	if _, _, cost := (headMeter{hasLine: true, inLine: true}).with(p[:n]); cost > carriedLines*lineCost && len(p) <= 4<<10 {
		c.carried = cost
	} else if n > 0 && len(p) > 1 {
		// A read of one byte only watches for the client's end.
		c.carried = 0
	}
	return n, err
}

// beginHead is called before the server reads a head.
func (c *Conn) beginHead() {
	c.meter, c.hasHead = headMeter{}, false
	c.inHead.Store(true)
	c.releaseAll()
	c.gate.setPhase(c, Idle)
	if c.carried > 0 {
		// What the server has read of the next head with the former body is not passed through Read again.
		_ = c.acquire(context.Background(), c.carried, ForRequest)
		c.carried = 0
	}
}

// endHead is called once a head is complete; the length of the body is not known yet.
func (c *Conn) endHead() {
	c.bodyLeft = 0
	c.inHead.Store(false)
}

// acquire waits for room for n more bytes of the current request.
func (c *Conn) acquire(ctx context.Context, n int64, use Use) error {
	if n <= 0 {
		return nil
	}
	if err := c.gate.acquire(ctx, c, n, use); err != nil {
		return err
	}
	c.held.Add(n)
	return nil
}

// release gives back n bytes of the current request.
func (c *Conn) release(n int64) {
	c.held.Add(-n)
	c.gate.release(c, n)
}

// releaseAll gives back what the current request holds.
func (c *Conn) releaseAll() {
	if n := c.held.Swap(0); n > 0 {
		c.gate.release(c, n)
	}
}

// reject tells the client that its request did not run, as far as it has sent one, and returns the error that ends the connection.
func (c *Conn) reject(p []byte) error {
	if c.hasHead {
		_ = c.Conn.SetWriteDeadline(c.gate.cfg.Now().Add(rejectTimeout))
		writeRejection(c.Conn)
		if c.held.Load() <= smallBytes {
			c.linger(p)
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: ErrRejected}
}

// linger reads what the client still sends, since closing the connection at once would destroy the rejection.
func (c *Conn) linger(p []byte) {
	if tcp, ok := c.Conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(c.gate.cfg.Now().Add(lingerTime))
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(p)
		if err != nil {
			return
		}
		left -= n
	}
}

// writeRejection writes the response to a request that was not read.
func writeRejection(c net.Conn) {
	const text = "node has no room for the request\n"
	after := retryAfter + time.Duration(retryJitter*rand.Float64()*float64(retryAfter))
	// A client that is gone needs no response.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nRetry-After: %.3f\r\nConnection: close\r\n\r\n%s",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), len(text), after.Seconds(), text)
}

// Write writes a part of a response and records its progress.
func (c *Conn) Write(p []byte) (int, error) {
	if c.gate.phase(c) != Serving {
		return c.Conn.Write(p)
	}
	written := 0
	for written < len(p) {
		if !c.gate.setPhase(c, Writing) {
			return written, &net.OpError{Op: "write", Net: "tcp", Err: ErrRejected}
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	c.gate.setPhase(c, Serving)
	return written, nil
}

// SetReadDeadline sets the deadline of reads, unless the connection is being closed for others.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.isEnded.Load() {
		t = aLongTimeAgo
	}
	return c.Conn.SetReadDeadline(t)
}

// end closes the connection for others: its reader rejects the request, and a response that is not read is cut.
func (c *Conn) end(p Phase) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.isEnded.Store(true)
	// An error means that the connection is closed already.
	if p == Writing || c.isOpaque {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(aLongTimeAgo)
	_ = c.Conn.SetWriteDeadline(c.gate.cfg.Now().Add(rejectTimeout))
}

// Close closes the connection and gives back what it holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.gate.close(c) })
	return err
}
