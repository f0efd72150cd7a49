package object

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	clientName    = "platform"
	maxValueBytes = 1 << 20
	maxListBytes  = 256 << 20
	dialTimeout   = time.Second
	headerTimeout = 5 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base address, as http://IP:PORT.
	URL string
	// Timeout bounds one call; watches are exempt.
	Timeout time.Duration
	// WatchIdleTimeout is how long a watch may receive nothing before it is aborted.
	WatchIdleTimeout time.Duration
}

// Client accesses the platform over HTTP.
type Client struct {
	cfg  ClientConfig
	http httpc.Service
	eras Eras
}

// HeaderEra is the header in which the platform names its era; it rises by one each time that it comes back from an older copy.
const HeaderEra = "Era"

// Era returns the latest era of the platform that an answer has named.
func (c *Client) Era() uint64 { return c.eras.Latest() }

// RaiseEra records an era that is known otherwise; it returns ErrEraChanged if a later one is known.
func (c *Client) RaiseEra(era uint64) error { return c.eras.Raise(era) }

// NewClient returns a client; connections are opened on demand.
func NewClient(cfg ClientConfig) *Client {
	// The circuit breaker would reject calls in place of the platform and so hide the end of an outage.
	breaker.NoBreakerFor(clientName)
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ResponseHeaderTimeout: headerTimeout,
		MaxIdleConnsPerHost:   32,
		IdleConnTimeout:       30 * time.Second,
	}
	return &Client{cfg: cfg, http: httpc.NewServiceWithClient(clientName, &http.Client{Transport: transport})}
}

func (c *Client) objectURL(kind, name string) string {
	return c.cfg.URL + "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// response is the response to one call.
type response struct {
	status int
	body   []byte
	// era is the platform's era when it answered.
	era uint64
}

func (c *Client) call(ctx context.Context, method, endpoint string, body []byte, maxBytes int64) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	resp, err := c.http.DoRequest(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	era, err := c.eras.Note(resp.Header.Get(HeaderEra))
	if err != nil {
		return response{}, err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return response{}, err
	}
	if int64(len(data)) > maxBytes {
		return response{}, merry.Errorf("answer is over %d bytes", maxBytes)
	}
	return response{status: resp.StatusCode, body: data, era: era}, nil
}

func (c *Client) checkCondition(ctx context.Context, kind, name string, version Version) error {
	return c.eras.CheckCondition(ctx, version, func(ctx context.Context) (Object, error) { return c.Get(ctx, kind, name) })
}

// Get reads one object; the error is ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	r, err := c.call(ctx, http.MethodGet, c.objectURL(kind, name), nil, 2*maxValueBytes)
	return decodeObject("get", kind, name, r, err)
}

// Put writes value if the object still has the given version.
func (c *Client) Put(ctx context.Context, kind, name string, version Version, value any) (Object, error) {
	return c.write(ctx, write{operation: "put", kind: kind, name: name, version: version, value: value})
}

// PutStatus writes the status of an object if it still has the given version.
func (c *Client) PutStatus(ctx context.Context, kind, name string, version Version, value any) (Object, error) {
	return c.write(ctx, write{operation: "put status of", kind: kind, name: name, path: "/status", version: version, value: value})
}

// write is a conditional write of a part of an object.
type write struct {
	operation, kind, name string
	// path names the part within the object, "" for its value.
	path    string
	version Version
	value   any
}

func (c *Client) write(ctx context.Context, w write) (Object, error) {
	body, err := json.Marshal(w.value)
	if err != nil {
		return Object{}, merry.Prependf(err, "%s %s/%s", w.operation, w.kind, w.name)
	}
	if len(body) > maxValueBytes {
		return Object{}, merry.Errorf("%s %s/%s: value of %d bytes is over %d", w.operation, w.kind, w.name, len(body), maxValueBytes)
	}
	if err := c.checkCondition(ctx, w.kind, w.name, w.version); err != nil {
		return Object{}, err
	}
	endpoint := fmt.Sprintf("%s%s?version=%d", c.objectURL(w.kind, w.name), w.path, w.version.Revision())
	r, err := c.call(ctx, http.MethodPut, endpoint, body, 2*maxValueBytes)
	if err == nil {
		err = CheckAnswer(w.version, r.era)
	}
	return decodeObject(w.operation, w.kind, w.name, r, err)
}

// Delete removes the object if it still has the given version.
func (c *Client) Delete(ctx context.Context, kind, name string, version Version) error {
	if err := c.checkCondition(ctx, kind, name, version); err != nil {
		return err
	}
	endpoint := fmt.Sprintf("%s?version=%d", c.objectURL(kind, name), version.Revision())
	r, err := c.call(ctx, http.MethodDelete, endpoint, nil, 2*maxValueBytes)
	if err == nil {
		err = CheckAnswer(version, r.era)
	}
	_, err = decodeObject("delete", kind, name, r, err)
	return err
}

func decodeObject(op, kind, name string, r response, err error) (Object, error) {
	if err != nil {
		return Object{}, merry.Prependf(err, "%s %s/%s", op, kind, name)
	}
	if r.status == http.StatusNotFound {
		return Object{}, merry.Prependf(ErrNotFound, "%s %s/%s", op, kind, name)
	}
	if r.status != http.StatusOK && r.status != http.StatusConflict {
		return Object{}, merry.Errorf("%s %s/%s: status %d: %.100s", op, kind, name, r.status, r.body)
	}
	o, err := parseObject(r.era, r.body)
	if err != nil {
		return Object{}, merry.Prependf(err, "%s %s/%s", op, kind, name)
	}
	if r.status == http.StatusConflict {
		return Object{}, &ConflictError{Current: o}
	}
	return o, nil
}

// List reads the objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) (List, error) {
	endpoint := c.cfg.URL + "/v1/objects/" + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	r, err := c.call(ctx, http.MethodGet, endpoint, nil, maxListBytes)
	if err == nil && r.status != http.StatusOK {
		err = merry.Errorf("status %d: %.100s", r.status, r.body)
	}
	var l List
	if err == nil {
		l, err = parseList(r.era, r.body)
	}
	if err != nil {
		return List{}, merry.Prependf(err, "list %s", kind)
	}
	return l, nil
}

// Watch calls handle for each event after version until the watch fails or reaches its idle timeout.
func (c *Client) Watch(ctx context.Context, kind string, version Version, handle func(Event)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if version.Era() != c.eras.Latest() {
		return merry.Prependf(ErrEraChanged, "watch %s", kind)
	}
	endpoint := fmt.Sprintf("%s/v1/watch/%s?from=%d", c.cfg.URL, url.PathEscape(kind), version.Revision())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
	if err != nil {
		return merry.Prependf(err, "watch %s", kind)
	}
	idle := time.AfterFunc(c.cfg.WatchIdleTimeout, cancel)
	defer idle.Stop()
	resp, err := c.http.DoRequest(req)
	if err != nil {
		return merry.Prependf(err, "watch %s", kind)
	}
	defer resp.Body.Close()
	era, err := c.eras.Note(resp.Header.Get(HeaderEra))
	if err == nil && era != version.Era() {
		err = ErrEraChanged
	}
	if err != nil {
		return merry.Prependf(err, "watch %s", kind)
	}
	if resp.StatusCode == http.StatusGone {
		return merry.Prependf(ErrGone, "watch %s", kind)
	}
	if resp.StatusCode != http.StatusOK {
		return merry.Errorf("watch %s: status %d", kind, resp.StatusCode)
	}
	lines := bufio.NewReaderSize(resp.Body, 64<<10)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return merry.Prependf(err, "watch %s", kind)
		}
		idle.Reset(c.cfg.WatchIdleTimeout)
		e, err := parseEvent(era, line)
		if err != nil {
			return merry.Prependf(err, "watch %s", kind)
		}
		if c.eras.Latest() != era {
			return merry.Prependf(ErrEraChanged, "watch %s", kind)
		}
		handle(e)
	}
}

// VMs reads the platform's list of live and leaving VMs, and returns the era in which it was read.
func (c *Client) VMs(ctx context.Context, into any) (era uint64, err error) {
	r, err := c.call(ctx, http.MethodGet, c.cfg.URL+"/v1/vms", nil, maxListBytes)
	if err == nil && r.status != http.StatusOK {
		err = merry.Errorf("status %d", r.status)
	}
	if err == nil {
		err = json.Unmarshal(r.body, into)
	}
	if err != nil {
		return 0, merry.Prepend(err, "list vms")
	}
	return r.era, nil
}
