package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/peer/peerpb"
)

// streamingPeer answers each Work call with three parts and an end.
type streamingPeer struct {
	peerpb.UnimplementedPeerServer
}

const workParts = 3

func (streamingPeer) Work(_ *peerpb.WorkRequest, out peerpb.Peer_WorkServer) error {
	for n := range uint64(workParts) {
		if err := out.Send(&peerpb.WorkEvent{Type: "part", N: n + 1, Data: fmt.Appendf(nil, "part %d", n+1)}); err != nil {
			return err
		}
	}
	return out.Send(&peerpb.WorkEvent{Type: "done", N: workParts, Data: []byte("output")})
}

// cuttingProxy passes a number of bytes of the peer's answer on and then ends the connection.
func cuttingProxy(t *testing.T, address string, length int64, reset bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				peer, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				defer peer.Close()
				go func() { _, _ = io.Copy(peer, client) }()
				_, _ = io.CopyN(client, peer, length)
				if reset {
					_ = client.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestCutWorkStreamIsNeverComplete ends the connection between two nodes after each byte of the answer: a call without an error
// has brought every part and the end, in order.
func TestCutWorkStreamIsNeverComplete(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(streamingPeer{}, nil)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(server.Stop)
	const answerBytes = 400
	var calls sync.WaitGroup
	limit := make(chan struct{}, 8)
	completed := 0
	var mu sync.Mutex
	for length := range int64(answerBytes) {
		for _, reset := range []bool{false, true} {
			limit <- struct{}{}
			calls.Go(func() {
				defer func() { <-limit }()
				got, err := workThrough(cuttingProxy(t, ln.Addr().String(), length, reset))
				const want = "part 1 part 2 part 3 output "
				if err == nil && got != want {
					t.Errorf("%d bytes, reset %t: got %q without an error, want %q", length, reset, got, want)
				}
				if len(got) > len(want) || got != want[:len(got)] {
					t.Errorf("%d bytes, reset %t: got %q, which is no part of %q", length, reset, got, want)
				}
				if err == nil {
					mu.Lock()
					completed++
					mu.Unlock()
				}
			})
		}
	}
	calls.Wait()
	if completed == 0 {
		t.Errorf("got no complete call within %d bytes", answerBytes)
	}
}

func workThrough(address string) (string, error) {
	pool := NewConnPool(nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	got := ""
	_, err := pool.Work(ctx, address, &peerpb.WorkRequest{Request: "r"}, func(e *peerpb.WorkEvent) error {
		got += string(e.Data) + " "
		return nil
	})
	return got, err
}
