package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch/deskpb"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/permit"
)

const (
	// minShardedTargets is the number of targets from which a service has a dispatcher in each data centre, so that no
	// single node carries the pieces of a large fleet.
	minShardedTargets = 9
	// ackTimeout bounds the time until a dispatcher acknowledges that a group is queued: several round trips.
	ackTimeout = 300 * time.Millisecond
	// heartbeatTimeout bounds the time between later messages: three heartbeat intervals.
	heartbeatTimeout = 3 * heartbeatInterval
	// maxNodes bounds the dispatchers that are tried before the local node does the work; maxUnresponsive bounds how
	// many of them may run into a timeout.
	maxNodes          = 6
	maxUnresponsive   = 2
	remoteFreeTimeout = time.Second
)

// Client finds the dispatcher of a service and passes groups to it.
type Client struct {
	cfg      ClientConfig
	nodes    *connection.Nodes
	mu       sync.Mutex
	backoffs map[string]connection.NodeBackoff
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	// Self is the name of this node.
	Self     string
	Local    *Dispatcher
	Registry func() *registry.Registry
	Notices  *notice.Keeper
	Log      logrus.FieldLogger
	Now      func() time.Time
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, nodes: connection.NewNodes(), backoffs: map[string]connection.NodeBackoff{}}
}

// GroupResults holds the results of a group and the node whose dispatcher tracks them.
type GroupResults struct {
	Node    string
	Results []batch.Result
	// HasRoom is set if the results need not be freed before their readers have ended.
	HasRoom bool
}

// Shards returns the shards of a service that may run a request's pieces, best first. A small service has one shard.
//
// When a data centre of a large fleet is out of service or overloaded, what its shard cannot take is spread over the
// targets of the others by a hash of the request.
func Shards(r *registry.Registry, service, datacentre, request string) []string {
	list := r.Usable(service)
	if len(list) < minShardedTargets {
		return []string{""}
	}
	datacentreOf := make(map[string]string, len(list))
	ids := make([]string, 0, len(list))
	var shards []string
	for _, t := range list {
		datacentreOf[t.ID] = t.Datacentre
		ids = append(ids, t.ID)
		if t.Datacentre == datacentre && len(shards) == 0 {
			shards = append(shards, datacentre)
		}
	}
	for _, id := range rendezvous.Rank(request, ids) {
		if !slices.Contains(shards, datacentreOf[id]) {
			shards = append(shards, datacentreOf[id])
		}
	}
	return shards
}

// dispatcherNode returns the name of the node whose dispatcher calls the targets of a shard.
func (c *Client) dispatcherNode(now time.Time, service, shard string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := nodeOfShard(c.cfg.Registry(), service, shard, func(n registry.Node) bool { return !c.backoffs[n.Name].Active(now, n.StartedAt) })
	if name == "" {
		return c.cfg.Self
	}
	return name
}

// nodeOfShard returns the name of the node among the usable ones whose dispatcher calls the targets of a shard, "" if there is none.
func nodeOfShard(r *registry.Registry, service, shard string, usable func(registry.Node) bool) string {
	var names, inShard []string
	for _, name := range r.NodeNames() {
		node, _ := r.Node(name)
		if !usable(node) {
			continue
		}
		names = append(names, name)
		if node.Datacentre == shard {
			inShard = append(inShard, name)
		}
	}
	if len(inShard) > 0 {
		names = inShard
	}
	if len(names) == 0 {
		return ""
	}
	return rendezvous.First(service+"@"+shard, names)
}

// Produce runs a group at its dispatcher, or at the local one if no other responds. onInputsFetched is called once the
// inputs of the group are no longer needed.
func (c *Client) Produce(ctx context.Context, g batch.Group, onInputsFetched func()) (GroupResults, error) {
	if err := g.Validate(); err != nil {
		return GroupResults{}, err
	}
	unresponsive := 0
	for range maxNodes {
		if unresponsive == maxUnresponsive {
			break
		}
		sentAt := c.cfg.Now()
		name := c.dispatcherNode(sentAt, g.Service, g.Datacentre)
		node, ok := c.cfg.Registry().Node(name)
		if !ok {
			break
		}
		if name == c.cfg.Self {
			if c.cfg.Local.CheckAccepting() == nil {
				break
			}
			c.recordFailure(sentAt, node, g, errDeclined)
			continue
		}
		out, err := c.produceRemote(ctx, sentAt, node, g, onInputsFetched)
		var r *batch.RejectedError
		if err == nil || errors.As(err, &r) {
			c.recordSuccess(node.Name)
		}
		if err == nil || errors.As(err, &r) || ctx.Err() != nil {
			return out, err
		}
		c.recordFailure(sentAt, node, g, err)
		if !isImmediateRefusal(err) {
			unresponsive++
		}
	}
	results, err := c.cfg.Local.Produce(ctx, g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: onInputsFetched})
	return GroupResults{Node: c.cfg.Self, Results: results, HasRoom: err == nil && c.cfg.Local.HasRoom(g, results)}, err
}

// recordSuccess clears the failures of a node that responded.
func (c *Client) recordSuccess(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backoffs, name)
}

// recordFailure puts a node in back-off that did not run a group sent at sentAt.
func (c *Client) recordFailure(sentAt time.Time, node registry.Node, g batch.Group, err error) {
	now := c.cfg.Now()
	c.mu.Lock()
	x := c.backoffs[node.Name].AfterFailure(sentAt, now, node.StartedAt, isImmediateRefusal(err))
	c.backoffs[node.Name] = x
	c.mu.Unlock()
	if !errors.Is(err, errDeclined) {
		c.nodes.Discard(sentAt, node.Address)
	}
	c.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"request": g.Request, "service": g.Service, "peer": node.Name, "shun_ms": x.Until().Sub(now).Milliseconds(),
	}).Warn("desk: node did not run the group; trying another node")
}

func (c *Client) deskClient(now time.Time, address string) (deskpb.DeskClient, error) {
	conn, err := c.nodes.Conn(now, address)
	if err != nil {
		return nil, err
	}
	return deskpb.NewDeskClient(conn), nil
}

// isImmediateRefusal reports whether the node's process is gone or declines; other errors mean an unresponsive machine.
func isImmediateRefusal(err error) bool {
	return errors.Is(err, errDeclined) || connection.IsUnavailable(err)
}

// The ways in which another node's dispatcher fails to run a group.
var (
	errUnresponsive = merry.Sentinel("node fell silent")
	errDeclined     = merry.Sentinel("desk takes no groups now")
)

// produceRemote runs a group at another node.
func (c *Client) produceRemote(ctx context.Context, now time.Time, node registry.Node, g batch.Group, onInputsFetched func()) (GroupResults, error) {
	out := GroupResults{Node: node.Name}
	client, err := c.deskClient(now, node.Address)
	if err != nil {
		return out, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(ackTimeout, func() { cancel(errUnresponsive) })
	defer timeout.Stop()
	m := toMessage(now, g)
	board := c.cfg.Notices.Board()
	m.Leaving, m.Limits = toRuns(board.News(now)), permit.ToLimits(now, board.LimitNews(now))
	stream, err := client.Produce(ctx, m)
	if err != nil {
		return out, err
	}
	for {
		p, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return out, cause
			}
			return out, err
		}
		timeout.Reset(heartbeatTimeout)
		heardAt := c.cfg.Now()
		c.cfg.Notices.Learn(heardAt, fromRuns(p.Leaving), permit.FromLimits(heardAt, p.Limits))
		switch progressState(p.State) {
		case stateQueued, stateHeartbeat:
		case stateInputsFetched:
			onInputsFetched()
		case stateDeclined:
			return out, errDeclined
		case stateRefused:
			return out, &batch.RejectedError{Wait: time.Duration(p.WaitUs) * time.Microsecond, Reason: p.Results[0].Reason}
		case stateRoomy:
			out.HasRoom = true
		case stateDone:
			out.Results = make([]batch.Result, 0, len(p.Results))
			for _, r := range p.Results {
				out.Results = append(out.Results, batch.Result{Handle: r.Handle, Datacentre: r.Datacentre, Reason: batch.Reason(r.Reason)})
			}
			return out, nil
		}
	}
}

// Free frees results through the dispatcher that tracks them, or directly if it cannot be reached.
func (c *Client) Free(node string, handles []string) {
	if len(handles) == 0 {
		return
	}
	x, ok := c.cfg.Registry().Node(node)
	if node == c.cfg.Self || !ok {
		c.cfg.Local.Free(handles)
		return
	}
	client, err := c.deskClient(c.cfg.Now(), x.Address)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), remoteFreeTimeout)
		defer cancel()
		_, err = client.Free(ctx, &deskpb.Handles{Handles: handles})
	}
	if err != nil {
		c.cfg.Log.WithError(err).WithField("peer", node).Warn("desk: node did not free the results; freeing them directly")
		c.cfg.Local.Free(handles)
	}
}

// Close closes the connections to other nodes.
func (c *Client) Close() { c.nodes.Close() }
