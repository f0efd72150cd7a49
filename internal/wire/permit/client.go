package permit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit/permitpb"
)

const (
	// answerTimeout bounds the time in which a keeper answers, beyond what the claim may wait: several round trips.
	answerTimeout = 150 * time.Millisecond
	// maxKeepers bounds the keepers that are asked for one claim.
	maxKeepers = 3
	// declinedPause is how long a node that declined is not asked again.
	declinedPause = 300 * time.Millisecond
	// minAskInterval is the least time between two claims for the same target that are not those of requests.
	minAskInterval = 10 * time.Millisecond
	// exchangeInterval is how often a node without a share learns of the limits of a pool that it wants to send to.
	exchangeInterval = 2 * time.Second
	// tellDelay is how long changes of limits are collected before the keepers are told.
	tellDelay = 20 * time.Millisecond
)

// Meter records the metrics of a Client.
type Meter interface {
	// CountPermit counts a claim for the targets of a service by what became of it.
	CountPermit(service, result string)
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	// Self is the name of this node.
	Self     string
	Registry func() *registry.Registry
	Notices  *notice.Keeper
	Log      logrus.FieldLogger
	Now      func() time.Time
	Meter    Meter
}

// Client asks the keepers of pools for sends.
type Client struct {
	cfg   ClientConfig
	local *Keeper
	nodes *connection.Nodes
	ranks ratelimit.Ranking

	mu       sync.Mutex
	backoffs map[string]connection.NodeBackoff
	// lost holds the start times of the runs of nodes that have not answered since they last did.
	lost      map[string]int64
	hints     ratelimit.Hints
	exchanged map[ratelimit.Pool]time.Time
	// changed holds the pools of whose limits the keepers are about to be told.
	changed map[ratelimit.Pool]bool
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, nodes: connection.NewNodes(), backoffs: map[string]connection.NodeBackoff{}, lost: map[string]int64{},
		exchanged: map[ratelimit.Pool]time.Time{}, changed: map[ratelimit.Pool]bool{},
	}
}

// SetLocal sets the keeper of this node; it is called before the first claim.
func (c *Client) SetLocal(k *Keeper) { c.local = k }

// Close closes the connections to other nodes.
func (c *Client) Close() { c.nodes.Close() }

// IsLost reports whether a node has not answered since it last did.
func (c *Client) IsLost(name string) bool {
	node, ok := c.cfg.Registry().Node(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	startedAt, lost := c.lost[name]
	return lost && ok && startedAt == node.StartedAt
}

// keepers returns the nodes to ask for the limits of a pool.
func (c *Client) keepers(now time.Time, p ratelimit.Pool) []string {
	r := c.cfg.Registry()
	return ratelimit.Keepers(c.ranks.Rank(p, r), func(name string) bool {
		node, _ := r.Node(name)
		c.mu.Lock()
		defer c.mu.Unlock()
		return name != c.cfg.Self && c.backoffs[name].Active(now, node.StartedAt)
	})
}

// NextAt returns when a keeper of a pool may next be asked for a target by a claim of a rank; false if there is none.
func (c *Client) NextAt(now time.Time, p ratelimit.Pool, t notice.Target, rank int) (time.Time, bool) {
	keepers := c.keepers(now, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, at, ok := c.hints.Next(now, t, keepers, rank)
	if ok && c.hints.IsAsking(t) {
		at = later(at, now.Add(minAskInterval))
	}
	return at, ok
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reservation is the decision on a claim and the keeper that made it, "" if none was asked.
type Reservation struct {
	Decision ratelimit.Decision
	Keeper   string
}

// Reserve asks the keepers of a pool for a send, one after the other as long as one may grant it in time. A claim whose caller
// may come back is always put to one of them, which knows when there is room.
func (c *Client) Reserve(ctx context.Context, p ratelimit.Pool, claim ratelimit.Claim) Reservation {
	startedAt := c.cfg.Now()
	if claim.GoesElsewhere(startedAt) && len(claim.Targets) == 1 {
		t := claim.Targets[0]
		claim.ID = fmt.Sprintf("%s/poll/%s/%d", c.cfg.Self, t.ID, claim.Rank())
		c.mu.Lock()
		isFirst := c.hints.Begin(t)
		c.mu.Unlock()
		if !isFirst {
			return Reservation{Decision: ratelimit.Rejected{RetryAfter: minAskInterval}}
		}
		defer func() {
			c.mu.Lock()
			c.hints.End(t)
			c.mu.Unlock()
		}()
	}
	var best Reservation
	var asked []string
	for len(asked) < maxKeepers {
		now := c.cfg.Now()
		// Each answer takes time, more on a busy machine.
		if best.Decision != nil && claim.HasWaited(startedAt, now) {
			break
		}
		keepers := slices.DeleteFunc(c.keepers(now, p), func(name string) bool { return slices.Contains(asked, name) })
		c.mu.Lock()
		keeper, at, ok := c.hints.Earliest(now, claim.Targets, keepers, claim.Rank())
		c.mu.Unlock()
		if !ok {
			break
		}
		if at.After(now) && at.After(claim.StartBy) && (len(asked) > 0 || claim.ReturnBy.IsZero()) {
			c.refreshLimits(now, p)
			best = best.orSooner(ratelimit.Rejected{RetryAfter: at.Sub(now)}, "")
			break
		}
		asked = append(asked, keeper)
		d, err := c.ask(ctx, now, keeper, p, claim)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			c.setHints(c.cfg.Now(), claim.Targets, keeper, ratelimit.AnyRank, declinedPause)
			continue
		}
		r, isRejected := d.(ratelimit.Rejected)
		if !isRejected {
			best = Reservation{Decision: d, Keeper: keeper}
			break
		}
		c.setHints(c.cfg.Now(), claim.Targets, keeper, claim.Rank(), r.RetryAfter)
		best = best.orSooner(r, keeper)
	}
	if best.Decision == nil {
		best.Decision = ratelimit.Rejected{RetryAfter: declinedPause}
	}
	c.cfg.Meter.CountPermit(p.Service, resultOf(best.Decision))
	return best
}

// orSooner returns the reservation or a rejection with an earlier time to come back.
func (r Reservation) orSooner(d ratelimit.Rejected, keeper string) Reservation {
	if known, ok := r.Decision.(ratelimit.Rejected); ok && known.RetryAfter <= d.RetryAfter {
		return r
	}
	return Reservation{Decision: d, Keeper: keeper}
}

// Grant asks for a send to one target; it returns when to ask again if there is none.
func (c *Client) Grant(ctx context.Context, t registry.Target, claim ratelimit.Claim) (granted bool, askAfter time.Duration) {
	switch d := c.Reserve(ctx, ratelimit.Pool{Service: t.Service, Datacentre: t.Datacentre}, claim).Decision.(type) {
	case ratelimit.Granted, ratelimit.Lifted:
		return true, 0
	case ratelimit.Rejected:
		return false, max(d.RetryAfter, minAskInterval)
	default:
		return false, declinedPause
	}
}

func resultOf(d ratelimit.Decision) string {
	switch d.(type) {
	case ratelimit.Granted:
		return string(stateGranted)
	case ratelimit.Lifted:
		return string(stateLifted)
	case ratelimit.Announced:
		return string(stateAnnounced)
	default:
		return string(stateRejected)
	}
}

func (c *Client) setHints(now time.Time, targets []notice.Target, keeper string, rank int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range targets {
		c.hints.Set(now, t, keeper, rank, now.Add(wait))
	}
}

// ask asks one keeper; an error means that it does not answer or is none.
func (c *Client) ask(ctx context.Context, now time.Time, keeper string, p ratelimit.Pool, claim ratelimit.Claim) (ratelimit.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, max(0, claim.StartBy.Sub(now))+answerTimeout)
	defer cancel()
	if keeper == c.cfg.Self {
		return c.local.Reserve(ctx, p, claim)
	}
	node, client, err := c.permitClient(now, keeper)
	if err != nil {
		return nil, err
	}
	m, err := client.Reserve(ctx, toClaim(now, p, claim, reports(now, c.cfg.Notices.Board(), claim.Targets)))
	if err != nil {
		c.recordFailure(ctx, now, node, err)
		return nil, err
	}
	c.recordAnswer(keeper)
	now = c.cfg.Now()
	c.cfg.Notices.Learn(now, nil, FromLimits(now, m.Limits))
	return fromDecision(m)
}

func (c *Client) permitClient(now time.Time, name string) (registry.Node, permitpb.PermitClient, error) {
	node, ok := c.cfg.Registry().Node(name)
	if !ok {
		return node, nil, merry.Errorf("node %s is not known", name)
	}
	conn, err := c.nodes.Conn(now, node.Address)
	if err != nil {
		return node, nil, err
	}
	return node, permitpb.NewPermitClient(conn), nil
}

// recordFailure puts a node in back-off that did not answer a call; a caller that has left says nothing of it.
func (c *Client) recordFailure(ctx context.Context, sentAt time.Time, node registry.Node, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	now := c.cfg.Now()
	c.mu.Lock()
	startedAt, isKnown := c.lost[node.Name]
	// A keeper that is late once is asked again soon: its part of the limits is lost meanwhile.
	wasLost := isKnown && startedAt == node.StartedAt
	x := c.backoffs[node.Name].AfterFailure(sentAt, now, node.StartedAt, connection.IsUnavailable(err) || !wasLost)
	c.backoffs[node.Name] = x
	c.lost[node.Name] = node.StartedAt
	c.mu.Unlock()
	c.nodes.Discard(sentAt, node.Address)
	c.cfg.Log.WithError(err).WithFields(logrus.Fields{"peer": node.Name, "shun_ms": x.Until().Sub(now).Milliseconds()}).Warn("limit: keeper does not answer")
}

func (c *Client) recordAnswer(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backoffs, name)
	delete(c.lost, name)
}

// Check asks nodes whether they answer, those in back-off once that is over.
func (c *Client) Check(p ratelimit.Pool, nodes []string) {
	now := c.cfg.Now()
	for _, name := range c.due(now, p, nodes) {
		go c.exchange(name, p)
	}
}

// due returns the nodes of a check and the lost ones, unless the pool was exchanged within SettleTime or they are in back-off.
func (c *Client) due(now time.Time, p ratelimit.Pool, nodes []string) []string {
	r := c.cfg.Registry()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.exchanged[p]) < ratelimit.SettleTime {
		return nil
	}
	c.exchanged[p] = now
	for name := range c.lost {
		if !slices.Contains(nodes, name) {
			nodes = append(nodes[:len(nodes):len(nodes)], name)
		}
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(name string) bool {
		node, ok := r.Node(name)
		return !ok || name == c.cfg.Self || c.backoffs[name].Active(now, node.StartedAt)
	})
}

// exchange tells a node of the limits of a pool and learns what it knows.
func (c *Client) exchange(name string, p ratelimit.Pool) {
	now := c.cfg.Now()
	node, client, err := c.permitClient(now, name)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transitTime)
	defer cancel()
	list := poolReports(now, c.cfg.Notices.Board(), c.cfg.Registry(), p)
	m, err := client.Exchange(ctx, &permitpb.Limits{Service: p.Service, Datacentre: p.Datacentre, Limits: ToLimits(now, list)})
	if err != nil {
		c.recordFailure(ctx, now, node, err)
		return
	}
	c.recordAnswer(name)
	now = c.cfg.Now()
	c.cfg.Notices.Learn(now, nil, FromLimits(now, m.Limits))
}

// refreshLimits learns the limits of a pool from one of its keepers, at most once in exchangeInterval.
func (c *Client) refreshLimits(now time.Time, p ratelimit.Pool) {
	keepers := slices.DeleteFunc(c.keepers(now, p), func(name string) bool { return name == c.cfg.Self })
	if len(keepers) == 0 {
		return
	}
	c.mu.Lock()
	isDue := now.Sub(c.exchanged[p]) >= exchangeInterval
	if isDue {
		c.exchanged[p] = now
	}
	c.mu.Unlock()
	if isDue {
		go c.exchange(keepers[int(now.UnixNano()/int64(exchangeInterval))%len(keepers)], p)
	}
}

// TellKeepers tells the keepers of a target's pool that its limit has changed, if this node heard of it from the target.
func (c *Client) TellKeepers(t notice.Target, from notice.Source) {
	c.mu.Lock()
	c.hints.Drop(t)
	c.mu.Unlock()
	target, ok := c.cfg.Registry().Target(t.ID)
	if !ok || from != notice.FromTarget {
		return
	}
	p := ratelimit.Pool{Service: target.Service, Datacentre: target.Datacentre}
	c.mu.Lock()
	isPending := c.changed[p]
	c.changed[p] = true
	c.mu.Unlock()
	if isPending {
		return
	}
	time.AfterFunc(tellDelay, func() {
		c.mu.Lock()
		delete(c.changed, p)
		c.mu.Unlock()
		for _, name := range c.keepers(c.cfg.Now(), p) {
			if name != c.cfg.Self {
				go c.exchange(name, p)
			}
		}
	})
}
