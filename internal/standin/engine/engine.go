package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// Config is how an engine behaves while nothing is wrong.
type Config struct {
	Name    string
	Address string
	// Cold is how many requests at once a cold engine bears, Warm how many answers double that, Limit the most.
	Cold  int
	Warm  int
	Limit int
	// Service is the time of one request on an engine that is not crowded.
	Service time.Duration
	// Events is how many events a streamed answer has; 0 means that answers are not streamed.
	Events int
	// Restart is how long an engine that fell over stays away.
	Restart time.Duration
	// Fenced engines refuse an order with an old fencing number.
	Fenced bool
	Now    func() time.Time
}

// Faults is what is wrong with an engine at the moment; counts go down as they are used.
type Faults struct {
	Slow time.Duration `json:"slow"`
	// Lose drops the answer after the request has run.
	Lose int `json:"lose"`
	// Silent keeps the connection open and says nothing.
	Silent int `json:"silent"`
	// Cut ends a stream in its middle.
	Cut int `json:"cut"`
	// Foreign answers in the name of another attempt.
	Foreign int `json:"foreign"`
	// Double sends each event of a stream twice.
	Double int `json:"double"`
	// Error answers with status 500 before running.
	Error int `json:"error"`
	// Leaving refuses all work and says so.
	Leaving bool `json:"leaving"`
}

// Counts is the truth about what an engine ran.
type Counts struct {
	Runs int64 `json:"runs"`
	// Orders says how often each order's effect was applied.
	Orders map[string]int `json:"orders"`
	// Peak is the highest concurrency, ColdPeak the highest while cold, Bound what a cold engine bears.
	Peak     int `json:"peak"`
	ColdPeak int `json:"coldpeak"`
	Bound    int `json:"bound"`
	// Over counts arrivals beyond what the engine bore while not warm.
	Over  int `json:"over"`
	Boots int `json:"boots"`
	Stale int `json:"stale"`
	// Last is when work last arrived, in Unix milliseconds.
	Last int64 `json:"last"`
	// BusyMs is the time that requests spent here, in milliseconds.
	BusyMs int64 `json:"busyms"`
	// Requests holds how often each attempt arrived.
	Attempts map[string]int `json:"attempts,omitempty"`
}

// Engine is one target.
type Engine struct {
	cfg    Config
	mu     sync.Mutex
	faults Faults
	counts Counts
	served int
	boot   int
	fence  uint64
	// crash ends everything that runs when the engine falls over.
	crash   chan struct{}
	running map[string]context.CancelFunc
	server  *http.Server
	address string
	down    bool
}

// New makes an engine that does not listen yet.
func New(cfg Config) *Engine {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Engine{
		cfg:     cfg,
		boot:    1,
		crash:   make(chan struct{}),
		running: map[string]context.CancelFunc{},
		counts:  Counts{Orders: map[string]int{}, Attempts: map[string]int{}, Bound: cfg.Cold},
	}
}

// Start listens; the address it got is kept over later starts.
func (e *Engine) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listen()
}

func (e *Engine) listen() error {
	address := e.address
	if address == "" {
		address = e.cfg.Address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prependf(err, "engine %s", e.cfg.Name)
	}
	e.address = l.Addr().String()
	e.down = false
	s := &http.Server{Handler: e.handler()}
	e.server = s
	go func() { _ = s.Serve(l) }()
	return nil
}

// Address is where the engine listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Name is the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Stop ends the engine as a crash would: listener and connections are gone at once.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fall()
}

// fall ends all that runs; the next start is cold.
func (e *Engine) fall() {
	if e.down {
		return
	}
	e.down = true
	close(e.crash)
	e.crash = make(chan struct{})
	e.boot++
	e.counts.Boots++
	e.served = 0
	e.running = map[string]context.CancelFunc{}
	s := e.server
	go func() { _ = s.Close() }()
}

// Chill makes the engine cold again without any sign.
func (e *Engine) Chill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served = 0
}

// Warm makes the engine as warm as it gets.
func (e *Engine) Warm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served = e.cfg.Warm * 64
}

// SetFaults changes what is wrong.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts gives the truth so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Orders = make(map[string]int, len(e.counts.Orders))
	for k, v := range e.counts.Orders {
		c.Orders[k] = v
	}
	c.Attempts = make(map[string]int, len(e.counts.Attempts))
	for k, v := range e.counts.Attempts {
		c.Attempts[k] = v
	}
	return c
}

// bears is how many requests at once the engine bears now.
func (e *Engine) bears() int {
	steps := min(e.served/max(1, e.cfg.Warm), 16)
	return min(e.cfg.Limit, e.cfg.Cold<<steps)
}

type arrival string

const (
	taken    arrival = "taken"
	tooMuch  arrival = "toomuch"
	tooOld   arrival = "fenced"
	leaving  arrival = "leaving"
	twiceNow arrival = "twice"
)

// arrive counts a request in; tooMuch means that the engine has fallen over.
func (e *Engine) arrive(id string, fence uint64, cancel context.CancelFunc) (arrival, time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Last = e.cfg.Now().UnixMilli()
	if e.faults.Leaving {
		return leaving, 0, nil
	}
	if e.cfg.Fenced && fence < e.fence {
		e.counts.Stale++
		return tooOld, 0, nil
	}
	if _, twice := e.running[id]; twice {
		return twiceNow, 0, nil
	}
	e.fence = max(e.fence, fence)
	e.running[id] = cancel
	e.counts.Runs++
	e.counts.Attempts[id]++
	now, bears := len(e.running), e.bears()
	e.counts.Peak = max(e.counts.Peak, now)
	if bears == e.cfg.Cold {
		e.counts.ColdPeak = max(e.counts.ColdPeak, now)
	}
	if now > bears && bears < e.cfg.Limit {
		e.counts.Over++
		e.fall()
		time.AfterFunc(e.cfg.Restart, func() { _ = e.Start() })
		return tooMuch, 0, nil
	}
	return taken, e.time(id, now, bears), e.crash
}

// time is how long a request takes: a part by chance, more in a crowd, more while cold.
func (e *Engine) time(id string, now, bears int) time.Duration {
	chance := 75 + xxhash.Sum64String(id)%50
	d := e.cfg.Service * time.Duration(chance) / 100
	if bears < e.cfg.Limit {
		d += d / 2
	}
	if now > e.cfg.Limit {
		d = d * time.Duration(now) / time.Duration(e.cfg.Limit)
	}
	return d + e.faults.Slow
}

// leave counts a request out.
func (e *Engine) leave(id string, whole bool, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.counts.BusyMs += took.Milliseconds()
	if whole {
		e.served++
	}
}

// use takes one off a fault's count.
func (e *Engine) use(pick func(*Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := pick(&e.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) bootName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Name + "-" + strconv.Itoa(e.boot)
}

// effect applies the effect of an order.
func (e *Engine) effect(order string) {
	if order == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Orders[order]++
}

// body is the part of a stage's input that the engine looks at.
type body struct {
	Input struct {
		Order string `json:"order"`
	} `json:"input"`
	Prior map[string]json.RawMessage `json:"prior"`
}

// Answer is the output of a stage, bound to the order that it was asked for.
type Answer struct {
	Order  string `json:"order"`
	Stage  string `json:"stage"`
	Prior  int    `json:"prior"`
	Events int    `json:"events,omitempty"`
}
