package faultproxy

import (
	"net"
	"sync"
)

// Mode is what a gate does with connections.
type Mode string

// The modes.
const (
	// Forward relays.
	Forward Mode = "pass"
	// Disconnect ends open connections and refuses new ones.
	Disconnect Mode = "cut"
	// Blackhole keeps connections open and relays nothing more; opened ones too.
	Blackhole Mode = "silent"
)

// Proxy relays connections to one address.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]*sleeper
}

// sleeper is the switch of one connection: once asleep it passes nothing.
type sleeper struct {
	mu     sync.Mutex
	asleep bool
}

// New listens on a port of its own and relays to target.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Proxy{target: target, listener: l, mode: Forward, conns: map[net.Conn]*sleeper{}}
	go g.accept()
	return g, nil
}

// Address is where the gate listens.
func (g *Proxy) Address() string { return g.listener.Addr().String() }

// Close ends the gate with all its connections.
func (g *Proxy) Close() {
	_ = g.listener.Close()
	g.SetMode(Disconnect)
}

// SetMode changes what happens to open and to new connections.
func (g *Proxy) SetMode(m Mode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
	for c, s := range g.conns {
		switch m {
		case Disconnect:
			_ = c.Close()
		case Blackhole:
			s.sleep()
		case Forward:
		}
	}
}

// StallOpen makes the open connections silent for good; new ones work.
func (g *Proxy) StallOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.conns {
		s.sleep()
	}
}

func (s *sleeper) sleep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asleep = true
}

func (s *sleeper) isAsleep() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asleep
}

func (g *Proxy) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.relay(c)
	}
}

func (g *Proxy) relay(c net.Conn) {
	defer c.Close()
	g.mu.Lock()
	mode := g.mode
	g.mu.Unlock()
	if mode == Disconnect {
		return
	}
	there, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer there.Close()
	s := &sleeper{asleep: mode == Blackhole}
	g.mu.Lock()
	g.conns[c], g.conns[there] = s, s
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.conns, c)
		delete(g.conns, there)
		g.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go pass(there, c, s, done)
	go pass(c, there, s, done)
	<-done
}

const bufferSize = 32 << 10

// pass copies until the source ends; a sleeping connection's bytes are swallowed.
func pass(to, from net.Conn, s *sleeper, done chan<- struct{}) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !s.isAsleep() {
			if _, werr := to.Write(buffer[:n]); werr != nil {
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
