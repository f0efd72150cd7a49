package faultproxy

import (
	"net"
	"sync"
)

// Mode is what a proxy does with connections.
type Mode string

// The modes.
const (
	// Forward forwards all bytes.
	Forward Mode = "pass"
	// Disconnect closes open connections and refuses new ones.
	Disconnect Mode = "cut"
	// Blackhole keeps all connections open, new ones too, and forwards nothing more on them.
	Blackhole Mode = "silent"
)

// Proxy forwards connections to one address.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]*stallSwitch
}

// stallSwitch stalls one connection: once it is stalled, nothing more is forwarded.
type stallSwitch struct {
	mu      sync.Mutex
	stalled bool
}

// New returns a proxy that listens on a free port and forwards to target.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, mode: Forward, conns: map[net.Conn]*stallSwitch{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(Disconnect)
}

// SetMode sets what happens to open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c, s := range p.conns {
		switch m {
		case Disconnect:
			_ = c.Close()
		case Blackhole:
			s.stall()
		case Forward:
		}
	}
}

// StallOpen stalls the open connections permanently; new ones work.
func (p *Proxy) StallOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.conns {
		s.stall()
	}
}

func (s *stallSwitch) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = true
}

func (s *stallSwitch) isStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	if mode == Disconnect {
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	s := &stallSwitch{stalled: mode == Blackhole}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = s, s
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, client)
		delete(p.conns, upstream)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go copyBytes(upstream, client, s, done)
	go copyBytes(client, upstream, s, done)
	<-done
}

const bufferSize = 32 << 10

// copyBytes copies until the source ends; the bytes of a stalled connection are discarded.
func copyBytes(to, from net.Conn, s *stallSwitch, done chan<- struct{}) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !s.isStalled() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				done <- struct{}{}
				return
			}
		}
		if err != nil {
			done <- struct{}{}
			return
		}
	}
}
