package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/connection"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/dispatch/deskpb"
)

const (
	// shardFrom is the number of targets from which a service has a desk in each data centre, so that no one
	// node carries the pieces of a large fleet.
	shardFrom = 9
	// ackTimeout is how long a desk may take to say that a group is queued: several round trips.
	ackTimeout = 300 * time.Millisecond
	// silence is how long a desk may then stay without a word, three times the time between two.
	silence = 3 * aliveEvery
	// maxDesks is how many desks are asked before the node does the work itself, maxSilent how many of them may take
	// their time to fail.
	maxDesks  = 6
	maxSilent = 2
	// closeAfter is how long calls that still run on the connection of a lost node have to end.
	closeAfter = 2 * time.Second

	minConnect   = 500 * time.Millisecond
	minReconnect = 100 * time.Millisecond
	maxReconnect = time.Second
	freeCall     = time.Second
)

// Client finds the desk of a service and passes groups to it.
type Client struct {
	cfg   ClientConfig
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	shun  map[string]shun
}

// ClientConfig is what a switchboard is made of.
type ClientConfig struct {
	// Self is the name of this node.
	Self   string
	Local  *Dispatcher
	Roster func() *registry.Registry
	Log    logrus.FieldLogger
	Now    func() time.Time
}

// NewClient makes a switchboard without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, conns: map[string]*grpc.ClientConn{}, shun: map[string]shun{}}
}

// GroupResults is the results of a group and the node whose desk keeps them.
type GroupResults struct {
	Node    string
	Results []batch.Result
}

// Shards gives the shards of a service that a request's pieces may go to, best first. A small service has one shard.
//
// It answers a large fleet of which a data centre is taken out or overrun: what its shard cannot take is spread over
// the targets of the others, by a hash of the request.
func Shards(r *registry.Registry, service, datacentre, request string) []string {
	list := r.Usable(service)
	if len(list) < shardFrom {
		return []string{""}
	}
	at := make(map[string]string, len(list))
	ids := make([]string, 0, len(list))
	var shards []string
	for _, t := range list {
		at[t.ID] = t.Datacentre
		ids = append(ids, t.ID)
		if t.Datacentre == datacentre && len(shards) == 0 {
			shards = append(shards, datacentre)
		}
	}
	for _, id := range rendezvous.Rank(request, ids) {
		if !slices.Contains(shards, at[id]) {
			shards = append(shards, at[id])
		}
	}
	return shards
}

// desk gives the node whose desk fills the calls of a shard.
func (s *Client) desk(now time.Time, service, shard string) string {
	r := s.cfg.Roster()
	s.mu.Lock()
	defer s.mu.Unlock()
	var names, near []string
	for _, n := range r.NodeNames() {
		x, _ := r.Node(n)
		if s.shun[n].passes(now, x) {
			continue
		}
		names = append(names, n)
		if x.Datacentre == shard {
			near = append(near, n)
		}
	}
	if len(near) > 0 {
		names = near
	}
	if len(names) == 0 {
		return s.cfg.Self
	}
	return rendezvous.First(service+"@"+shard, names)
}

// Produce has a group made at its desk; it is done here if no desk answers.
// begun is called once the inputs of the group are no longer needed.
func (s *Client) Produce(ctx context.Context, g batch.Group, begun func()) (GroupResults, error) {
	silent := 0
	for range maxDesks {
		if silent == maxSilent {
			break
		}
		asked := s.cfg.Now()
		name := s.desk(asked, g.Service, g.Datacentre)
		node, ok := s.cfg.Roster().Node(name)
		if !ok {
			break
		}
		if name == s.cfg.Self {
			if s.cfg.Local.CheckAccepting() == nil {
				break
			}
			s.lost(asked, node, g, errDeclined)
			continue
		}
		results, err := s.ask(ctx, asked, node, g, begun)
		var r *batch.RefusedError
		if err == nil || errors.As(err, &r) {
			s.found(node.Name)
		}
		if err == nil || errors.As(err, &r) || ctx.Err() != nil {
			return GroupResults{Node: name, Results: results}, err
		}
		s.lost(asked, node, g, err)
		if !refusedAtOnce(err) {
			silent++
		}
	}
	results, err := s.cfg.Local.Produce(ctx, g, Callbacks{OnQueued: func(time.Duration) {}, OnInputsFetched: begun})
	return GroupResults{Node: s.cfg.Self, Results: results}, err
}

// found forgets the failures of a node that has answered.
func (s *Client) found(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.shun, name)
}

// lost passes a node over for a while that was asked at a time and did not do the work.
func (s *Client) lost(asked time.Time, node registry.Node, g batch.Group, err error) {
	now := s.cfg.Now()
	s.mu.Lock()
	x := s.shun[node.Name].after(asked, now, node, err)
	s.shun[node.Name] = x
	var conn *grpc.ClientConn
	if !errors.Is(err, errDeclined) {
		conn = s.conns[node.Address]
		delete(s.conns, node.Address)
	}
	s.mu.Unlock()
	if conn != nil {
		time.AfterFunc(closeAfter, func() { _ = conn.Close() })
	}
	s.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"request": g.Request, "service": g.Service, "peer": node.Name, "shun_ms": x.until.Sub(now).Milliseconds(),
	}).Warn("desk: node does not do the work, another one is asked")
}

func (s *Client) client(address string) (deskpb.DeskClient, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, ok := s.conns[address]
	if !ok {
		fresh, err := connection.DialNode(address, grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnect, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnect},
			MinConnectTimeout: minConnect,
		}))
		if err != nil {
			return nil, err
		}
		conn = fresh
		s.conns[address] = conn
	}
	return deskpb.NewDeskClient(conn), nil
}

// The ways in which another node's desk does not do the work.
var (
	errSilent   = merry.Sentinel("node fell silent")
	errDeclined = merry.Sentinel("desk takes no groups now")
)

// ask has a group made by another node.
func (s *Client) ask(ctx context.Context, now time.Time, node registry.Node, g batch.Group, freed func()) ([]batch.Result, error) {
	client, err := s.client(node.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(ackTimeout, func() { cancel(errSilent) })
	defer silent.Stop()
	stream, err := client.Produce(ctx, toMessage(now, g))
	if err != nil {
		return nil, err
	}
	for {
		p, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return nil, cause
			}
			return nil, err
		}
		silent.Reset(silence)
		switch state(p.State) {
		case queued, alive:
		case begun:
			freed()
		case declined:
			return nil, errDeclined
		case refused:
			return nil, &batch.RefusedError{Wait: time.Duration(p.WaitUs) * time.Microsecond, Reason: p.Results[0].Reason}
		case done:
			results := make([]batch.Result, 0, len(p.Results))
			for _, r := range p.Results {
				results = append(results, batch.Result{Handle: r.Handle, Datacentre: r.Datacentre, Reason: batch.Reason(r.Reason)})
			}
			return results, nil
		}
	}
}

// Free gives results up at the desk that keeps them.
func (s *Client) Free(node string, handles []string) {
	if len(handles) == 0 {
		return
	}
	x, ok := s.cfg.Roster().Node(node)
	if node == s.cfg.Self || !ok {
		s.cfg.Local.Free(handles)
		return
	}
	client, err := s.client(x.Address)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), freeCall)
		defer cancel()
		_, err = client.Free(ctx, &deskpb.Handles{Handles: handles})
	}
	if err != nil {
		s.cfg.Log.WithError(err).WithField("peer", node).Warn("desk: results are freed without their desk")
		s.cfg.Local.Free(handles)
	}
}

// Close closes the connections to other nodes.
func (s *Client) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, c := range s.conns {
		_ = c.Close()
		delete(s.conns, a)
	}
}
