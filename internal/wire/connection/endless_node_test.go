package connection

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// endlessNode answers calls with bytes without end, and counts them.
type endlessNode struct {
	// raw is sent again and again in place of HTTP/2, "" for that.
	raw string
	// answer begins an answer on a stream, and repeat goes on with it.
	answer, repeat func(f *http2.Framer, stream uint32) error
	written        atomic.Int64
}

// countingConn counts the bytes that are written.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func (n *endlessNode) start(t *testing.T) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(countingConn{Conn: c, written: &n.written})
		}
	}()
	return ln.Addr().String()
}

func (n *endlessNode) serve(c net.Conn) {
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	if n.raw != "" {
		raw := strings.Repeat(n.raw, 1+readBufferBytes/len(n.raw))
		for {
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	}
	framer := http2.NewFramer(c, c)
	if framer.WriteSettings() != nil {
		return
	}
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}
		h, ok := f.(*http2.HeadersFrame)
		if !ok {
			continue
		}
		if n.answer(framer, h.StreamID) != nil {
			return
		}
		// The node's own frames are no longer read.
		for n.repeat(framer, h.StreamID) == nil {
		}
		return
	}
}

// TestEndlessBytesOfNodeAreCut guards against bytes without end where the answer of another node is due, such as those of a faulty target
// at the address of a node that is gone: the call ends, and little is taken.
func TestEndlessBytesOfNodeAreCut(t *testing.T) {
	// bytesTaken is more than both sockets and the largest message hold.
	const bytesTaken = 12 << 20
	head := headerBlock(":status", "200", "content-type", "application/grpc")
	long := headerBlock("x-long", strings.Repeat("x", 8<<10))
	begin := func(f *http2.Framer, stream uint32) error {
		return f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: head, EndHeaders: true})
	}
	message := func(size uint32) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{0}, size), make([]byte, 8<<10)...)
	}
	tests := []struct {
		name string
		node *endlessNode
	}{
		{name: "binary", node: &endlessNode{raw: "\xff\xfe"}},
		{name: "text", node: &endlessNode{raw: "x"}},
		{name: "HTTP/1.1", node: &endlessNode{raw: "HTTP/1.1 200 OK\r\n"}},
		{name: "header", node: &endlessNode{
			answer: func(f *http2.Framer, stream uint32) error {
				return f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: head})
			},
			repeat: func(f *http2.Framer, stream uint32) error { return f.WriteContinuation(stream, false, long) },
		}},
		{name: "message", node: &endlessNode{
			answer: func(f *http2.Framer, stream uint32) error {
				if err := begin(f, stream); err != nil {
					return err
				}
				return f.WriteData(stream, false, message(1<<31))
			},
			repeat: func(f *http2.Framer, stream uint32) error { return f.WriteData(stream, false, make([]byte, 8<<10)) },
		}},
		{name: "messages", node: &endlessNode{
			answer: begin,
			repeat: func(f *http2.Framer, stream uint32) error { return f.WriteData(stream, false, message(8<<10)) },
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := DialNode(tt.node.start(t))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if err := conn.Invoke(ctx, "/test/Call", wrapperspb.Bytes(nil), &wrapperspb.StringValue{}); err == nil {
				t.Error("got no error")
			}
			if ctx.Err() != nil {
				t.Error("got an end only when the time for the call was over")
			}
			_ = conn.Close()
			if got := tt.node.written.Load(); got > bytesTaken {
				t.Errorf("got %d bytes taken, want at most %d", got, bytesTaken)
			}
		})
	}
}
