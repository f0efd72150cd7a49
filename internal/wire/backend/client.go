package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// The headers of the targets' protocol.
const (
	HeaderRequest   = "Request"
	HeaderStage     = "Stage"
	HeaderAttempt   = "Attempt"
	HeaderPriority  = "Priority"
	HeaderRemaining = "Remaining-Ms"
	HeaderFence     = "Fence"
	HeaderAfter     = "After"
	HeaderBoot      = "Boot"
	HeaderRefused   = "Refused"
)

// ReasonDraining is the refusal of a target that takes no more work.
const ReasonDraining = "leaving"

const (
	clientName    = "target"
	dialTimeout   = 500 * time.Millisecond
	idleTimeout   = 30 * time.Second
	cancelTimeout = time.Second
	maxAnswer     = 8 << 20
	maxLine       = 1 << 20
)

// Attempt is one call of one stage.
type Attempt struct {
	ID           string
	Request      string
	Stage        string
	Priority     string
	Remaining    time.Duration
	IdleTimeout  time.Duration
	FencingToken uint64
	// ResumeAfter is the number of the last stream event that is already there.
	ResumeAfter uint64
	Stream      bool
	Body        []byte
	// OnHeader is told the target's boot as soon as the response header is there; it may be nil.
	OnHeader func(boot string)
}

// Load is what a target reports of itself.
type Load struct {
	Running  int    `json:"running"`
	Boot     string `json:"boot"`
	Draining bool   `json:"leaving"`
}

// Counters says what the client dropped or found amiss.
type Counters struct {
	Mismatched atomic.Int64
	Silent     atomic.Int64
}

// Client sends attempts; it keeps connections per target.
type Client struct {
	Counts Counters
	mu     sync.Mutex
	links  map[string]*link
}

type link struct {
	transport *http.Transport
	http      httpc.Service
}

// NewClient makes a client without connections.
func NewClient() *Client {
	// The breaker would answer in the target's name, and it knows nothing of one target among many.
	breaker.NoBreakerFor(clientName)
	return &Client{links: map[string]*link{}}
}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[address]
	if ok {
		return l
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	l = &link{transport: t, http: httpc.NewServiceWithClient(clientName, &http.Client{Transport: t})}
	c.links[address] = l
	return l
}

// suspect leaves every connection to address: one silent connection says that the idle ones may be silent too.
func (c *Client) suspect(address string, l *link) {
	c.Counts.Silent.Add(1)
	c.mu.Lock()
	if c.links[address] == l {
		delete(c.links, address)
	}
	c.mu.Unlock()
	l.transport.CloseIdleConnections()
}

// Run sends one attempt and hands each stream event to part as it comes.
func (c *Client) Run(ctx context.Context, address string, a Attempt, part func(n uint64, data []byte) error) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(a.IdleTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	l := c.link(address)
	started := time.Now()
	resp, err := l.http.DoRequest(a.request(ctx, address))
	if err != nil {
		return c.broken(ctx, address, l, "", err)
	}
	defer resp.Body.Close()
	boot := resp.Header.Get(HeaderBoot)
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, boot)
	}
	if resp.Header.Get(HeaderAttempt) != a.ID {
		c.Counts.Mismatched.Add(1)
		return Incomplete{Reason: "answer belongs to another attempt", Boot: boot}
	}
	first := time.Since(started)
	if a.OnHeader != nil {
		a.OnHeader(boot)
	}
	r := reader{client: c, attempt: a, alive: func() { silence.Reset(a.IdleTimeout) }, part: part}
	output, events, err := r.read(resp.Body)
	if err != nil {
		return c.broken(ctx, address, l, boot, err)
	}
	return Complete{Output: output, Events: events, HeaderLatency: first, Boot: boot}
}

var errSilent = merry.Sentinel("connection is silent")

func (a Attempt) request(ctx context.Context, address string) *http.Request {
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/run"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(a.Body))
	if err != nil {
		panic("backend: request cannot be built: " + err.Error())
	}
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequest, a.Request)
	h.Set(HeaderStage, a.Stage)
	h.Set(HeaderAttempt, a.ID)
	h.Set(HeaderPriority, a.Priority)
	h.Set(HeaderRemaining, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set(HeaderFence, strconv.FormatUint(a.FencingToken, 10))
	h.Set(HeaderAfter, strconv.FormatUint(a.ResumeAfter, 10))
	return req
}

func refusal(resp *http.Response, boot string) Result {
	reason := resp.Header.Get(HeaderRefused)
	if reason != "" {
		return Refused{Reason: reason, Boot: boot, Draining: reason == ReasonDraining}
	}
	return Incomplete{Reason: "status " + resp.Status, Boot: boot}
}

func (c *Client) broken(ctx context.Context, address string, l *link, boot string, err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreachable{Reason: err.Error()}
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		c.suspect(address, l)
		return Incomplete{Reason: errSilent.Error(), Boot: boot, Silent: true}
	}
	return Incomplete{Reason: err.Error(), Boot: boot}
}

// line is one event of a stream, or the one answer of a call that is not streamed.
type line struct {
	Attempt string          `json:"attempt"`
	N       uint64          `json:"n"`
	Data    json.RawMessage `json:"data"`
	End     bool            `json:"end"`
	Output  json.RawMessage `json:"output"`
}

type reader struct {
	client  *Client
	attempt Attempt
	alive   func()
	part    func(n uint64, data []byte) error
}

func (r reader) read(body io.Reader) ([]byte, uint64, error) {
	if !r.attempt.Stream {
		return r.readOne(body)
	}
	return r.readStream(body)
}

func (r reader) readOne(body io.Reader) ([]byte, uint64, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		return nil, 0, err
	}
	var l line
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, 0, merry.Prepend(err, "answer is cut or no JSON")
	}
	if l.Attempt != r.attempt.ID {
		r.client.Counts.Mismatched.Add(1)
		return nil, 0, merry.New("answer belongs to another attempt")
	}
	return l.Output, 0, nil
}

// readStream takes events in their order up to the explicit end; repeated and foreign ones are dropped.
func (r reader) readStream(body io.Reader) ([]byte, uint64, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	next := r.attempt.ResumeAfter + 1
	for lines.Scan() {
		var l line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return nil, 0, merry.Prepend(err, "event is cut or no JSON")
		}
		if l.Attempt != r.attempt.ID {
			r.client.Counts.Mismatched.Add(1)
			continue
		}
		r.alive()
		if l.End {
			if l.N != next-1 {
				return nil, 0, merry.Errorf("stream ends at %d, events came up to %d", l.N, next-1)
			}
			return l.Output, l.N, nil
		}
		if l.N < next {
			continue
		}
		if l.N > next {
			return nil, 0, merry.Errorf("event %d came in place of %d", l.N, next)
		}
		if err := r.part(l.N, l.Data); err != nil {
			return nil, 0, err
		}
		next++
	}
	if err := lines.Err(); err != nil {
		return nil, 0, err
	}
	return nil, 0, merry.New("stream was cut before its end")
}

// Cancel asks the target to give an attempt up; nil means that it no longer runs there.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/cancel", RawQuery: "attempt=" + url.QueryEscape(attempt)}
	_, err := c.simple(ctx, http.MethodPost, address, u.String())
	return err
}

// Load asks the target what it runs.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/load"}
	data, err := c.simple(ctx, http.MethodGet, address, u.String())
	if err != nil {
		return Load{}, err
	}
	var l Load
	if err := json.Unmarshal(data, &l); err != nil {
		return Load{}, merry.Prepend(err, "load")
	}
	return l, nil
}

func (c *Client) simple(ctx context.Context, method, address, target string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.link(address).http.DoRequest(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %s", resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxLine))
}
