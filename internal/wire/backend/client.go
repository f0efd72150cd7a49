package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Headers of the protocol between a node and its targets.
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
	HeaderLimit     = "Limit"
)

// ReasonDraining is the value of HeaderRefused from a target that is draining.
const ReasonDraining = "leaving"

const (
	clientName    = "target"
	dialTimeout   = 500 * time.Millisecond
	idleTimeout   = 30 * time.Second
	cancelTimeout = time.Second
	// maxResponseBytes bounds a response without its header, also a stream, whose events are kept for callers that resume it.
	maxResponseBytes = 8 << 20
	maxHeadBytes     = 64 << 10
	maxLineBytes     = 1 << 20
)

// Attempt is one call to a target for one stage of a request.
type Attempt struct {
	ID           string
	Request      string
	Stage        string
	Priority     string
	Remaining    time.Duration
	IdleTimeout  time.Duration
	FencingToken uint64
	// ResumeAfter is the number of the last stream event already received.
	ResumeAfter uint64
	Stream      bool
	Body        []byte
	// OnHeader is called when the header of a response to the attempt arrives, a refusal's too; it may be nil.
	OnHeader func(h Header)
}

// Header is what the header of a response says of its target.
type Header struct {
	BootID string
	// Limit is the number of runs a second that the target takes, +Inf if it names none. LimitErr is set if the value cannot be
	// used; the limit is then unknown.
	Limit    float64
	LimitErr error
}

func parseHeader(h http.Header) Header {
	x := Header{BootID: h.Get(HeaderBoot), Limit: math.Inf(1)}
	if _, ok := h[HeaderLimit]; !ok {
		return x
	}
	limit, err := strconv.ParseFloat(h.Get(HeaderLimit), 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 0) {
		x.LimitErr = merry.Errorf("%s of a target is not a number of runs a second: %q", HeaderLimit, h.Get(HeaderLimit))
		return x
	}
	x.Limit = limit
	return x
}

// Load is the load that a target reports.
type Load struct {
	Running  int    `json:"running"`
	BootID   string `json:"boot"`
	Draining bool   `json:"leaving"`
}

// Counters counts mismatched responses and stalled connections.
type Counters struct {
	Mismatched atomic.Int64
	Stalled    atomic.Int64
}

// Client sends attempts to targets over one HTTP transport per target.
type Client struct {
	Counts Counters
	mu     sync.Mutex
	conns  map[string]*targetConns
}

type targetConns struct {
	transport *http.Transport
	http      httpc.Service
	// alone is for calls whose responses name nothing: each has a connection of its own, on which no late copy of another
	// response can come.
	alone httpc.Service
}

// NewClient returns a client without connections.
func NewClient() *Client {
	// go-zero's breaker would fail calls in the target's place, and it does not distinguish between targets.
	breaker.NoBreakerFor(clientName)
	return &Client{conns: map[string]*targetConns{}}
}

func (c *Client) connsTo(address string) *targetConns {
	c.mu.Lock()
	defer c.mu.Unlock()
	tc, ok := c.conns[address]
	if ok {
		return tc
	}
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// A header costs many times its bytes if its lines are short.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	alone := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	tc = &targetConns{
		transport: transport, http: newService(transport),
		alone: newService(alone),
	}
	c.conns[address] = tc
	return tc
}

// newService returns a client that follows no redirects: an attempt goes to its own target, and nowhere else.
func newService(t *http.Transport) httpc.Service {
	return httpc.NewServiceWithClient(clientName, &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})
}

// discardConns closes the idle connections to address and makes later attempts open new ones: if one connection stalls,
// the others may be stalled too.
func (c *Client) discardConns(address string, tc *targetConns) {
	c.Counts.Stalled.Add(1)
	c.mu.Lock()
	if c.conns[address] == tc {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	tc.transport.CloseIdleConnections()
}

// Run sends one attempt and calls onEvent with each stream event as it arrives.
func (c *Client) Run(ctx context.Context, address string, a Attempt, onEvent func(n uint64, data []byte) error) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(a.IdleTimeout, func() { cancel(errStalled) })
	defer idleTimer.Stop()
	tc := c.connsTo(address)
	started := time.Now()
	var used net.Conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { used = i.Conn }})
	resp, err := tc.http.DoRequest(a.request(ctx, address))
	if err != nil {
		return c.errorResult(ctx, address, tc, "", err)
	}
	defer resp.Body.Close()
	bootID := resp.Header.Get(HeaderBoot)
	isAnswer := resp.StatusCode >= http.StatusContinue
	if (resp.Header.Get(HeaderAttempt) != a.ID || !isAnswer) && used != nil {
		// This attempt's response may still come, and must not meet the next attempt. An error of the close changes nothing.
		_ = used.Close()
	}
	if !isAnswer || (resp.StatusCode != http.StatusOK && resp.Header.Get(HeaderRefused) == "") {
		return Incomplete{Reason: "status " + resp.Status, BootID: bootID}
	}
	// A late copy of another attempt's rejection says nothing of this one, which may run.
	if resp.Header.Get(HeaderAttempt) != a.ID {
		c.Counts.Mismatched.Add(1)
		return Incomplete{Reason: "answer belongs to another attempt", BootID: bootID}
	}
	if a.OnHeader != nil {
		a.OnHeader(parseHeader(resp.Header))
	}
	if reason := resp.Header.Get(HeaderRefused); resp.StatusCode != http.StatusOK {
		return Refused{Reason: reason, BootID: bootID, Draining: reason == ReasonDraining}
	}
	headerLatency := time.Since(started)
	r := reader{client: c, attempt: a, resetIdle: func() { idleTimer.Reset(a.IdleTimeout) }, onEvent: onEvent}
	output, events, err := r.read(resp.Body)
	if err != nil {
		return c.errorResult(ctx, address, tc, bootID, err)
	}
	return Complete{Output: output, Events: events, HeaderLatency: headerLatency, BootID: bootID}
}

var errStalled = merry.Sentinel("connection is silent")

func (a Attempt) request(ctx context.Context, address string) *http.Request {
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/run"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(a.Body))
	if err != nil {
		panic("backend: build request: " + err.Error())
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

func (c *Client) errorResult(ctx context.Context, address string, tc *targetConns, bootID string, err error) Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreachable{Reason: err.Error()}
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		c.discardConns(address, tc)
		return Incomplete{Reason: errStalled.Error(), BootID: bootID, Stalled: true}
	}
	return Incomplete{Reason: err.Error(), BootID: bootID}
}

// message is one event of a stream, or the single response of a call that is not streamed.
type message struct {
	Attempt string          `json:"attempt"`
	N       uint64          `json:"n"`
	Data    json.RawMessage `json:"data"`
	End     bool            `json:"end"`
	Output  json.RawMessage `json:"output"`
}

type reader struct {
	client    *Client
	attempt   Attempt
	resetIdle func()
	onEvent   func(n uint64, data []byte) error
}

func (r reader) read(body io.Reader) (output []byte, events uint64, err error) {
	limited := &io.LimitedReader{R: body, N: maxResponseBytes + 1}
	if r.attempt.Stream {
		output, events, err = r.readStream(limited)
	} else {
		output, events, err = r.readResponse(limited)
	}
	if limited.N <= 0 {
		return nil, 0, merry.Errorf("response is over %d bytes", maxResponseBytes)
	}
	return output, events, err
}

func (r reader) readResponse(body io.Reader) ([]byte, uint64, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, 0, err
	}
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, 0, merry.Prepend(err, "answer is cut or no JSON")
	}
	if m.Attempt != r.attempt.ID {
		r.client.Counts.Mismatched.Add(1)
		return nil, 0, merry.New("answer belongs to another attempt")
	}
	return m.Output, 0, nil
}

// readStream reads events in order up to the explicit end; duplicate and mismatched events are dropped.
func (r reader) readStream(body io.Reader) ([]byte, uint64, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	next := r.attempt.ResumeAfter + 1
	for scanner.Scan() {
		var m message
		if err := json.Unmarshal(scanner.Bytes(), &m); err != nil {
			return nil, 0, merry.Prepend(err, "event is cut or no JSON")
		}
		if m.Attempt != r.attempt.ID {
			r.client.Counts.Mismatched.Add(1)
			continue
		}
		if m.End {
			if m.N != next-1 {
				return nil, 0, merry.Errorf("stream ends at %d, events came up to %d", m.N, next-1)
			}
			return m.Output, m.N, nil
		}
		if m.N <= r.attempt.ResumeAfter && next == r.attempt.ResumeAfter+1 {
			return nil, 0, merry.Errorf("target started the stream again at event %d, events up to %d are there", m.N, r.attempt.ResumeAfter)
		}
		if m.N < next {
			continue
		}
		r.resetIdle()
		if m.N > next {
			return nil, 0, merry.Errorf("event %d came in place of %d", m.N, next)
		}
		if m.Data == nil {
			return nil, 0, merry.Errorf("event %d has no data", m.N)
		}
		if err := r.onEvent(m.N, m.Data); err != nil {
			return nil, 0, err
		}
		next++
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, err
	}
	return nil, 0, merry.New("stream was cut before its end")
}

// Cancel asks the target to cancel an attempt; nil means that the attempt no longer runs there.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/cancel", RawQuery: "attempt=" + url.QueryEscape(attempt)}
	_, err := c.roundTrip(ctx, http.MethodPost, address, u.String())
	return err
}

// Load asks the target for its load.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/load"}
	data, err := c.roundTrip(ctx, http.MethodGet, address, u.String())
	if err != nil {
		return Load{}, err
	}
	var l Load
	if err := json.Unmarshal(data, &l); err != nil {
		return Load{}, merry.Prepend(err, "load")
	}
	return l, nil
}

func (c *Client) roundTrip(ctx context.Context, method, address, rawURL string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, rawURL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.connsTo(address).alone.DoRequest(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %s", resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
}
