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
	// ColdLimit is how many requests at once a cold engine bears, Warm how many answers double that, Limit the most.
	ColdLimit       int
	WarmupSuccesses int
	Limit           int
	// ServiceTime is the time of one request on an engine that is not crowded.
	ServiceTime time.Duration
	// Events is how many events a streamed answer has; 0 means that answers are not streamed.
	Events int
	// RestartDelay is how long an engine that fell over stays away.
	RestartDelay time.Duration
	// RequiresFencing engines refuse an order with an old fencing number.
	RequiresFencing bool
	Now             func() time.Time
}

// Faults is what is wrong with an engine at the moment; counts go down as they are used.
type Faults struct {
	AddedLatency time.Duration `json:"slow"`
	// LostAnswers drops the answer after the request has run.
	LostAnswers int `json:"lose"`
	// Stalls keeps the connection open and says nothing.
	Stalls int `json:"silent"`
	// CutStreams ends a stream in its middle.
	CutStreams int `json:"cut"`
	// MismatchedAnswers answers in the name of another attempt.
	MismatchedAnswers int `json:"foreign"`
	// DuplicatedStreams sends each event of a stream twice.
	DuplicatedStreams int `json:"double"`
	// Errors answers with status 500 before running.
	Errors int `json:"error"`
	// Draining refuses all work and says so.
	Draining bool `json:"leaving"`
}

// Counts is the truth about what an engine ran.
type Counts struct {
	Runs int64 `json:"runs"`
	// Orders says how often each order's effect was applied.
	Orders map[string]int `json:"orders"`
	// PeakConcurrency is the highest concurrency, ColdPeak the highest while cold, Bound what a cold engine bears.
	PeakConcurrency     int `json:"peak"`
	ColdPeakConcurrency int `json:"coldpeak"`
	ColdLimit           int `json:"bound"`
	// OverLimit counts arrivals beyond what the engine bore while not warm.
	OverLimit   int `json:"over"`
	Crashes     int `json:"boots"`
	StaleFences int `json:"stale"`
	// LastArrivalMs is when work last arrived, in Unix milliseconds.
	LastArrivalMs int64 `json:"last"`
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
		counts:  Counts{Orders: map[string]int{}, Attempts: map[string]int{}, ColdLimit: cfg.ColdLimit},
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
	e.counts.Crashes++
	e.served = 0
	e.running = map[string]context.CancelFunc{}
	s := e.server
	go func() { _ = s.Close() }()
}

// MakeCold makes the engine cold again without any sign.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served = 0
}

// MakeWarm makes the engine as warm as it gets.
func (e *Engine) MakeWarm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served = e.cfg.WarmupSuccesses * 64
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
	steps := min(e.served/max(1, e.cfg.WarmupSuccesses), 16)
	return min(e.cfg.Limit, e.cfg.ColdLimit<<steps)
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
	e.counts.LastArrivalMs = e.cfg.Now().UnixMilli()
	if e.faults.Draining {
		return leaving, 0, nil
	}
	if e.cfg.RequiresFencing && fence < e.fence {
		e.counts.StaleFences++
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
	e.counts.PeakConcurrency = max(e.counts.PeakConcurrency, now)
	if bears == e.cfg.ColdLimit {
		e.counts.ColdPeakConcurrency = max(e.counts.ColdPeakConcurrency, now)
	}
	if now > bears && bears < e.cfg.Limit {
		e.counts.OverLimit++
		e.fall()
		time.AfterFunc(e.cfg.RestartDelay, func() { _ = e.Start() })
		return tooMuch, 0, nil
	}
	return taken, e.time(id, now, bears), e.crash
}

// time is how long a request takes: a part by chance, more in a crowd, more while cold.
func (e *Engine) time(id string, now, bears int) time.Duration {
	chance := 75 + xxhash.Sum64String(id)%50
	d := e.cfg.ServiceTime * time.Duration(chance) / 100
	if bears < e.cfg.Limit {
		d += d / 2
	}
	if now > e.cfg.Limit {
		d = d * time.Duration(now) / time.Duration(e.cfg.Limit)
	}
	return d + e.faults.AddedLatency
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

// Output is the output of a stage, bound to the order that it was asked for.
type Output struct {
	Order      string `json:"order"`
	Stage      string `json:"stage"`
	PriorCount int    `json:"prior"`
	Events     int    `json:"events,omitempty"`
}
