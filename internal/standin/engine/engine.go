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

// Config sets how an engine behaves without faults.
type Config struct {
	Name    string
	Address string
	// ColdLimit is how many concurrent requests a cold engine can run, WarmupSuccesses how many successes double that, and
	// Limit the maximum.
	ColdLimit       int
	WarmupSuccesses int
	Limit           int
	// ServiceTime is the mean time of one request on a warm engine below its limit.
	ServiceTime time.Duration
	// Events is the number of events of a streamed response; 0 means that responses are not streamed.
	Events int
	// RestartDelay is the time from a crash to the restart.
	RestartDelay time.Duration
	// RequiresFencing makes the engine refuse requests with an old fencing token.
	RequiresFencing bool
	Now             func() time.Time
}

// Faults are the faults injected into an engine; each use of a counted fault lowers its count.
type Faults struct {
	AddedLatency time.Duration `json:"slow"`
	// LostResponses is how many responses to drop after their requests have run.
	LostResponses int `json:"lose"`
	// Stalls is how many requests to leave without a response on an open connection.
	Stalls int `json:"silent"`
	// CutStreams is how many streams to truncate in the middle.
	CutStreams int `json:"cut"`
	// MismatchedResponses is how many responses to send with the ID of another attempt.
	MismatchedResponses int `json:"foreign"`
	// DuplicatedStreams is how many streams to send with each event twice.
	DuplicatedStreams int `json:"double"`
	// Errors is how many requests to answer with status 500 without running them.
	Errors int `json:"error"`
	// Draining makes the engine refuse all work and report that it drains.
	Draining bool `json:"leaving"`
	// Limit is the number of runs a second that the engine names in its responses, 0 for none.
	Limit float64 `json:"limit"`
}

// Counts are the counts of what an engine really ran.
type Counts struct {
	Runs int64 `json:"runs"`
	// Orders counts how often the effect of each order was applied.
	Orders map[string]int `json:"orders"`
	// PeakConcurrency is the highest concurrency, ColdPeakConcurrency the highest while cold, and ColdLimit the concurrency that
	// a cold engine can run.
	PeakConcurrency     int `json:"peak"`
	ColdPeakConcurrency int `json:"coldpeak"`
	ColdLimit           int `json:"bound"`
	// OverLimit counts requests above the capacity of an engine that was not yet warm.
	OverLimit   int `json:"over"`
	Crashes     int `json:"boots"`
	StaleFences int `json:"stale"`
	// LastArrivalMs is when a request last arrived, in Unix milliseconds.
	LastArrivalMs int64 `json:"last"`
	// BusyMs is the total time that requests ran, in milliseconds.
	BusyMs int64 `json:"busyms"`
	// Attempts counts how often each attempt arrived.
	Attempts map[string]int `json:"attempts,omitempty"`
}

// Engine is a stand-in for one target.
type Engine struct {
	cfg          Config
	mu           sync.Mutex
	faults       Faults
	counts       Counts
	successes    int
	boot         int
	fencingToken uint64
	// crashed is closed when the engine crashes, which ends all running requests.
	crashed chan struct{}
	running map[string]context.CancelFunc
	server  *http.Server
	address string
	down    bool
}

// New returns an engine that does not listen yet.
func New(cfg Config) *Engine {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Engine{
		cfg:     cfg,
		boot:    1,
		crashed: make(chan struct{}),
		running: map[string]context.CancelFunc{},
		counts:  Counts{Orders: map[string]int{}, Attempts: map[string]int{}, ColdLimit: cfg.ColdLimit},
	}
}

// Start makes the engine listen; later starts listen on the same address.
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

// Address returns the address on which the engine listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Stop ends the engine as a crash would: the listener and all connections are closed at once.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash ends all running requests; the next start is cold.
func (e *Engine) crash() {
	if e.down {
		return
	}
	e.down = true
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.boot++
	e.counts.Crashes++
	e.successes = 0
	e.running = map[string]context.CancelFunc{}
	s := e.server
	go func() { _ = s.Close() }()
}

// MakeCold makes the engine cold again without any sign to its callers: no restart and no new boot ID.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.successes = 0
}

// MakeWarm makes the engine fully warm.
func (e *Engine) MakeWarm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.successes = e.cfg.WarmupSuccesses * 64
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts returns the counts so far.
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

// capacity returns how many concurrent requests the engine can run at its present warm-up.
func (e *Engine) capacity() int {
	steps := min(e.successes/max(1, e.cfg.WarmupSuccesses), 16)
	return min(e.cfg.Limit, e.cfg.ColdLimit<<steps)
}

type admission string

const (
	admitted       admission = "taken"
	overCapacity   admission = "toomuch"
	staleToken     admission = "fenced"
	draining       admission = "leaving"
	alreadyRunning admission = "twice"
)

// admit decides whether the engine runs a request, and returns its service time and a channel that a crash closes;
// overCapacity means that the request has crashed the engine.
func (e *Engine) admit(id string, token uint64, cancel context.CancelFunc) (admission, time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.LastArrivalMs = e.cfg.Now().UnixMilli()
	if e.faults.Draining {
		return draining, 0, nil
	}
	if e.cfg.RequiresFencing && token < e.fencingToken {
		e.counts.StaleFences++
		return staleToken, 0, nil
	}
	if _, running := e.running[id]; running {
		return alreadyRunning, 0, nil
	}
	e.fencingToken = max(e.fencingToken, token)
	e.running[id] = cancel
	e.counts.Runs++
	e.counts.Attempts[id]++
	concurrent, capacity := len(e.running), e.capacity()
	e.counts.PeakConcurrency = max(e.counts.PeakConcurrency, concurrent)
	if capacity == e.cfg.ColdLimit {
		e.counts.ColdPeakConcurrency = max(e.counts.ColdPeakConcurrency, concurrent)
	}
	if concurrent > capacity && capacity < e.cfg.Limit {
		e.counts.OverLimit++
		e.crash()
		time.AfterFunc(e.cfg.RestartDelay, func() { _ = e.Start() })
		return overCapacity, 0, nil
	}
	return admitted, e.serviceTime(id, concurrent, capacity), e.crashed
}

// serviceTime returns how long a request takes: it varies with the request ID, and is longer above the limit and before the
// engine is warm.
func (e *Engine) serviceTime(id string, concurrent, capacity int) time.Duration {
	percent := 75 + xxhash.Sum64String(id)%50
	d := e.cfg.ServiceTime * time.Duration(percent) / 100
	if capacity < e.cfg.Limit {
		d += d / 2
	}
	if concurrent > e.cfg.Limit {
		d = d * time.Duration(concurrent) / time.Duration(e.cfg.Limit)
	}
	return d + e.faults.AddedLatency
}

// finish removes a request from the running ones; complete responses count towards the warm-up.
func (e *Engine) finish(id string, complete bool, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.counts.BusyMs += took.Milliseconds()
	if complete {
		e.successes++
	}
}

// consumeFault lowers the count of a fault and reports whether the fault applies.
func (e *Engine) consumeFault(count func(*Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := count(&e.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) bootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Name + "-" + strconv.Itoa(e.boot)
}

func (e *Engine) limit() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Limit
}

// applyEffect counts one application of the effect of an order.
func (e *Engine) applyEffect(order string) {
	if order == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Orders[order]++
}

// requestBody is the part of a stage's input that the engine reads.
type requestBody struct {
	Input struct {
		Order string `json:"order"`
	} `json:"input"`
	Prior map[string]json.RawMessage `json:"prior"`
}

// Output is the output of a stage; it names the order for which it was produced.
type Output struct {
	Order      string `json:"order"`
	Stage      string `json:"stage"`
	PriorCount int    `json:"prior"`
	Events     int    `json:"events,omitempty"`
}
