package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// recheckInterval is the time between two decisions on a wish that waits: others may have had their time.
	recheckInterval = 50 * time.Millisecond
	// logInterval is the time between two lines of the log.
	logInterval = time.Second
)

// ErrRejected is returned for a request that did not find room, or whose connection is closed for others.
var ErrRejected = errors.New("intake: no room for the request")

// Meter counts what a gate does.
type Meter interface {
	// CountIntake counts an action on a connection or request at one of the node's ports.
	CountIntake(port, action string)
}

// Config holds the settings and dependencies of a Gate.
type Config struct {
	// Port names the clients' side in metrics and logs.
	Port   string
	Limits Limits
	Log    logrus.FieldLogger
	Meter  Meter
	Now    func() time.Time
}

// Gate applies a Budget to the connections of a server.
type Gate struct {
	cfg Config

	mu     sync.Mutex
	budget *Budget
	conns  map[ID]*Conn
	lastID ID
	// changed is closed when bytes are released while wishes wait.
	changed chan struct{}
	waiting int
	// loggedAt is the time of the last line of the log, actions counts what happened since.
	loggedAt time.Time
	actions  map[string]int
}

// NewGate returns a gate without connections.
func NewGate(cfg Config) *Gate {
	return &Gate{cfg: cfg, budget: NewBudget(cfg.Limits), conns: map[ID]*Conn{}, changed: make(chan struct{}), actions: map[string]int{}}
}

// open registers a connection, and returns false if it is rejected.
func (g *Gate) open(c *Conn) bool {
	now := g.cfg.Now()
	g.mu.Lock()
	g.lastID++
	c.id = g.lastID
	decision := g.budget.Open(now, c.id)
	if _, ok := decision.(Reject); ok {
		g.mu.Unlock()
		g.record(now, "connection_rejected")
		return false
	}
	g.conns[c.id] = c
	g.mu.Unlock()
	if e, ok := decision.(Evict); ok {
		g.end(now, e)
	}
	return true
}

// end closes the connection that a decision names.
func (g *Gate) end(now time.Time, e Evict) {
	g.mu.Lock()
	victim := g.conns[e.Victim]
	g.mu.Unlock()
	if victim == nil {
		return
	}
	g.record(now, "ended_"+string(e.Phase))
	victim.end(e.Phase)
}

// acquire waits until a connection may hold n more bytes.
func (g *Gate) acquire(ctx context.Context, c *Conn, n int64, use Use) error {
	since := g.cfg.Now()
	for {
		now := g.cfg.Now()
		g.mu.Lock()
		decision := g.budget.Acquire(now, c.id, n, use, since)
		changed := g.changed
		if _, ok := decision.(Wait); ok {
			g.waiting++
		}
		g.mu.Unlock()
		switch d := decision.(type) {
		case Grant:
			return nil
		case Reject:
			g.record(now, string(use)+"_rejected")
			return ErrRejected
		case Evict:
			g.end(now, d)
		case Wait:
			err := await(ctx, changed)
			g.mu.Lock()
			g.waiting--
			g.mu.Unlock()
			if err != nil {
				return err
			}
		}
	}
}

// await waits for a change or the next look.
func await(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// release gives back n bytes of a connection.
func (g *Gate) release(c *Conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(c.id, n)
	g.notify()
}

// notify wakes the wishes that wait; the lock is held.
func (g *Gate) notify() {
	if g.waiting > 0 {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

func (g *Gate) setPhase(c *Conn, p Phase) bool {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.SetPhase(now, c.id, p)
}

func (g *Gate) phase(c *Conn) Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Phase(c.id)
}

func (g *Gate) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Close(c.id)
	delete(g.conns, c.id)
	g.notify()
}

// record counts an action, and logs the counts at most once in logInterval.
func (g *Gate) record(now time.Time, action string) {
	g.cfg.Meter.CountIntake(g.cfg.Port, action)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions[action]++
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.loggedAt = now
	fields := logrus.Fields{"port": g.cfg.Port, "held": g.budget.Held(), "connections": g.budget.Connections()}
	for name, count := range g.actions {
		fields[name] = count
	}
	g.actions = map[string]int{}
	g.cfg.Log.WithFields(fields).Warn("intake: clients hold too much")
}
