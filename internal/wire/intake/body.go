package intake

import (
	"context"
	"errors"
	"io"
)

// firstBody is the most that is read of a body before there is room for the whole of it.
const firstBody = 16 << 10

// ErrTooLarge is returned for a body above its limit.
var ErrTooLarge = errors.New("intake: body is too large")

type connKey struct{}

// FromContext returns the connection of a request, nil if it has no bounds.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ReadBody reads the body of a request of at most limit bytes, whose length is below 0 if it is not known, once there is room for
// it. The request counts as running from then on. The error is ErrRejected if there is no room.
func (c *Conn) ReadBody(ctx context.Context, body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	data, err := c.readAll(ctx, body, length, limit, ForRequest)
	if c == nil {
		return data, err
	}
	if c.isEnded.Load() || (err == nil && !c.gate.setPhase(c, Serving)) {
		return nil, ErrRejected
	}
	return data, err
}

// ReadResponse reads the body of a target's response of at most limit bytes, with a length that its header names, below 0 if it names
// none, as far as there is room for it.
func (c *Conn) ReadResponse(ctx context.Context, body io.Reader, length, limit int64) ([]byte, error) {
	return c.readAll(ctx, body, min(length, limit), limit, ForResponse)
}

// readAll reads a body to its end, in a buffer whose size the connection holds. Once the first part has come, the buffer has the whole
// length, so that bodies that wait for room hold little.
func (c *Conn) readAll(ctx context.Context, body io.Reader, length, limit int64, use Use) ([]byte, error) {
	first := int64(firstBody)
	if length >= 0 {
		first = min(first, length)
	}
	buf, err := c.allocate(ctx, min(first, limit), use)
	if err != nil {
		return nil, err
	}
	for read := int64(0); ; {
		// The end of a body has to be read, even if nothing follows.
		var next [1]byte
		into := buf[read:]
		if len(into) == 0 {
			into = next[:]
		}
		n, err := body.Read(into)
		if size := int64(len(buf)); n > 0 && read == size {
			if size >= limit {
				return nil, ErrTooLarge
			}
			grown, e := c.allocate(ctx, min(max(length, 2*size, 1), limit), use)
			if e != nil {
				return nil, e
			}
			copy(grown, buf)
			grown[read] = next[0]
			c.free(size)
			buf = grown
		}
		read += int64(n)
		if err == io.EOF {
			return buf[:read], nil
		}
		if err != nil {
			return buf[:read], err
		}
	}
}

func (c *Conn) allocate(ctx context.Context, n int64, use Use) ([]byte, error) {
	if c != nil {
		if err := c.acquire(ctx, n, use); err != nil {
			return nil, err
		}
	}
	return make([]byte, n), nil
}

func (c *Conn) free(n int64) {
	if c != nil && n > 0 {
		c.release(n)
	}
}
