package testbed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/examples"
	"github.com/lacewingdrift/lacewingdrift/internal/bench/loopback"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/bundle"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/process"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/engine"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/faultproxy"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

const (
	// StreamEvents is the number of events of a streamed response.
	StreamEvents = 8

	restartDelay      = 500 * time.Millisecond
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	operator          = "bench"
)

// Config configures a testbed.
type Config struct {
	// Deployment is "zoo" or "driveway".
	Deployment string
	// Nodes is the number of nodes, spread over the data centres.
	Nodes int
	Seed  uint64
	// Log receives the nodes' logs; nil discards them.
	Log io.Writer
	// Timing replaces the default timing, unless its lease is 0.
	Timing settings.Timing
	// Grace replaces the grace period of the timing, unless it is 0.
	Grace time.Duration
	// EditObjects changes the objects before they are published; it may be nil.
	EditObjects func(release.Set)
	// WithProxies puts a fault proxy before each node's peer address.
	WithProxies bool
	// PeerSeeds are the peer seeds in the settings of each node that is started.
	PeerSeeds []string
	// WarmTargets starts the targets warm.
	WarmTargets bool
}

// Node is one node of the testbed.
type Node struct {
	Name     string
	Process  *process.Process
	Platform *PlatformLink
	// Proxy is the fault proxy before the node's peer address, nil without proxies.
	Proxy *faultproxy.Proxy
}

// Testbed is a running deployment.
type Testbed struct {
	cfg          Config
	Store        *store.Store
	Set          release.Set
	mu           sync.Mutex
	nodes        map[string]*Node
	names        []string
	engines      map[string]*engine.Engine
	serviceTimes map[string]time.Duration
}

// silenceGoZero keeps go-zero's log lines out of the output of the testbed's users.
var silenceGoZero sync.Once

// Start starts a deployment and returns once every node is ready and every target has an owner.
func Start(cfg Config) (*Testbed, error) {
	silenceGoZero.Do(func() {
		logging.RedirectGoZero(logging.New(logging.Config{Level: "error", Format: "text", Out: io.Discard}))
	})
	b := &Testbed{cfg: cfg, Store: store.New(), nodes: map[string]*Node{}, engines: map[string]*engine.Engine{}}
	if err := b.loadObjects(); err != nil {
		return nil, merry.Prepend(err, "start testbed")
	}
	dcs := sortedKeys(b.Set.Datacentres)
	for i := range cfg.Nodes {
		name := fmt.Sprintf("%s-%d", dcs[i%len(dcs)], i/len(dcs)+1)
		b.names = append(b.names, name)
		if err := b.StartNode(name); err != nil {
			return nil, merry.Prepend(err, "start testbed")
		}
	}
	if err := b.Publish(context.Background()); err != nil {
		return nil, merry.Prepend(err, "start testbed")
	}
	return b, b.WaitUntil(func() bool { return b.isSettled() })
}

// loadObjects reads the deployment's objects and starts an engine for each target.
func (b *Testbed) loadObjects() error {
	files := bundle.New()
	dir := path.Join(b.cfg.Deployment, "objects")
	list, err := examples.Files.ReadDir(dir)
	if err != nil {
		return merry.Prepend(err, "deployment must be zoo or driveway")
	}
	for _, f := range list {
		data, err := examples.Files.ReadFile(path.Join(dir, f.Name()))
		if err != nil {
			return err
		}
		if violations := files.Add(f.Name(), data); len(violations) > 0 {
			return violations
		}
	}
	b.Set = files.Set
	if b.serviceTimes, err = readServiceTimes(b.cfg.Deployment); err != nil {
		return err
	}
	if b.cfg.EditObjects != nil {
		b.cfg.EditObjects(b.Set)
	}
	for name, p := range b.Set.Pools {
		if p, err = b.startEngines(p); err != nil {
			return err
		}
		b.Set.Pools[name] = p
	}
	return nil
}

// readServiceTimes reads the service time of each target.
func readServiceTimes(deployment string) (map[string]time.Duration, error) {
	data, err := examples.Files.ReadFile(path.Join(deployment, "targets.txt"))
	if err != nil {
		return nil, err
	}
	times := map[string]time.Duration{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		words := strings.Fields(scanner.Text())
		var name string
		for i, w := range words {
			switch w {
			case "--name":
				name = words[i+1]
			case "--service":
				var d duration.Duration
				if err := d.UnmarshalText([]byte(words[i+1])); err != nil {
					return nil, err
				}
				times[name] = d.Duration()
			}
		}
	}
	return times, scanner.Err()
}

func (b *Testbed) startEngines(p pool.Pool) (pool.Pool, error) {
	events := 0
	if p.Type == pool.Engine {
		events = StreamEvents
	}
	targets := append([]pool.Target(nil), p.Targets...)
	for i, t := range targets {
		e := engine.New(engine.Config{
			Name:            t.Name,
			Address:         loopback.Address(),
			ColdLimit:       p.ColdLimit,
			WarmupSuccesses: p.WarmupSuccesses,
			Limit:           p.Limit,
			ServiceTime:     b.serviceTimes[t.Name],
			Events:          events,
			RestartDelay:    restartDelay,
			RequiresFencing: p.RequiresFencing,
		})
		if err := e.Start(); err != nil {
			return p, err
		}
		if b.cfg.WarmTargets {
			e.MakeWarm()
		}
		b.engines[t.Name] = e
		targets[i].Address = e.Address()
	}
	p.Targets = targets
	return p, nil
}

func sortedKeys[T any](m map[string]T) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}

// StartNode starts a node, or restarts one that was stopped or killed.
func (b *Testbed) StartNode(name string) error {
	s := settings.Default()
	s.Name = name
	s.Datacentre = name[:strings.LastIndex(name, "-")]
	s.Caller.Address = "127.0.0.1:0"
	s.Peer.Address = "127.0.0.1:0"
	s.Platform.URL = "http://127.0.0.1:1"
	s.Peer.Seeds = b.cfg.PeerSeeds
	if b.cfg.Timing.Lease > 0 {
		s.Timing = b.cfg.Timing
	}
	if b.cfg.Grace > 0 {
		s.Timing.Grace = duration.Duration(b.cfg.Grace)
	}
	l, err := net.Listen("tcp", s.Peer.Address)
	if err != nil {
		return err
	}
	n := &Node{Name: name, Platform: newPlatformLink(b.Store)}
	cfg := process.Config{Settings: s, Log: logging.New(logging.Config{Level: "info", Format: "text", Out: io.Discard}), Seed: b.cfg.Seed, Platform: n.Platform, PeerListener: l}
	if b.cfg.Log != nil {
		cfg.Log.SetOutput(b.cfg.Log)
	}
	if b.cfg.WithProxies {
		if n.Proxy, err = faultproxy.New(l.Addr().String()); err != nil {
			return err
		}
		cfg.Settings.Peer.Advertise = n.Proxy.Address()
	}
	if n.Process, err = process.Start(cfg); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes[name] = n
	return nil
}

// Node returns a running node by name, or nil.
func (b *Testbed) Node(name string) *Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes[name]
}

// NodeNames returns the names of all nodes that were started.
func (b *Testbed) NodeNames() []string { return b.names }

// RunningNodes returns the running nodes.
func (b *Testbed) RunningNodes() []*Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*Node
	for _, name := range b.names {
		if n := b.nodes[name]; n != nil {
			list = append(list, n)
		}
	}
	return list
}

// CallerAddresses returns the caller addresses of the ready nodes, as a load balancer would know them.
func (b *Testbed) CallerAddresses() []string {
	var list []string
	for _, n := range b.RunningNodes() {
		if n.Process.Node().Ready() {
			list = append(list, n.Process.CallerAddress())
		}
	}
	return list
}

func (b *Testbed) remove(name string) *Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.nodes[name]
	delete(b.nodes, name)
	return n
}

// StopNode drains and stops a node; the load balancer sees it as not ready while it drains.
func (b *Testbed) StopNode(ctx context.Context, name string) {
	if n := b.Node(name); n != nil {
		n.Process.Stop(ctx)
		b.remove(name)
		n.closeProxy()
	}
}

// KillNode ends a node without draining, as a crash does.
func (b *Testbed) KillNode(name string) {
	if n := b.remove(name); n != nil {
		n.Platform.SetCut(true)
		n.Process.Kill()
		n.closeProxy()
	}
}

func (n *Node) closeProxy() {
	if n.Proxy != nil {
		n.Proxy.Close()
	}
}

// Target returns a target by name.
func (b *Testbed) Target(name string) *engine.Engine { return b.engines[name] }

// Targets returns the targets of a pool.
func (b *Testbed) Targets(poolName string) []*engine.Engine {
	var list []*engine.Engine
	for _, t := range b.Set.Pools[poolName].Targets {
		list = append(list, b.engines[t.Name])
	}
	return list
}

// TargetsIn returns the targets in a data centre.
func (b *Testbed) TargetsIn(datacentre string) []*engine.Engine {
	var list []*engine.Engine
	for _, p := range b.Set.Pools {
		for _, t := range p.Targets {
			if t.Datacentre == datacentre {
				list = append(list, b.engines[t.Name])
			}
		}
	}
	return list
}

// PoolCapacity returns the requests per second that the warm targets of a pool can run.
func (b *Testbed) PoolCapacity(name string) float64 {
	rate := 0.0
	p := b.Set.Pools[name]
	for _, t := range p.Targets {
		rate += float64(p.Limit) / b.serviceTimes[t.Name].Seconds()
	}
	return rate
}

// Publish writes the testbed's objects to the platform and publishes them.
func (b *Testbed) Publish(ctx context.Context) error {
	_, err := b.PublishWith(ctx, publication.Options{Operator: operator})
	return err
}

// PublishWith writes the testbed's objects to the platform and publishes them with the given options.
func (b *Testbed) PublishWith(ctx context.Context, options publication.Options) (publication.Result, error) {
	editor := process.NewEditor(b.Store.Connect())
	for _, o := range b.Set.Objects() {
		if err := b.writeObject(ctx, editor, o); err != nil {
			return publication.Result{}, err
		}
	}
	p := publication.Publisher{Editor: editor, HighestNumber: func() uint64 { return 0 }}
	return p.Publish(ctx, options)
}

func (b *Testbed) writeObject(ctx context.Context, editor edit.Editor, o release.Object) error {
	current, err := editor.Get(ctx, o.Kind, o.Name)
	if err == nil && bytes.Equal(current.Value, o.Value) {
		return nil
	}
	_, err = editor.Put(ctx, edit.Edit{Kind: o.Kind, Name: o.Name, Version: current.Version, Value: o.Value, Operator: operator})
	return err
}

// isSettled reports whether every node is ready and every target has an owner.
func (b *Testbed) isSettled() bool {
	owned := 0
	for _, n := range b.RunningNodes() {
		if !n.Process.Node().Ready() {
			return false
		}
		owned += len(n.Process.Node().OwnedTargets())
	}
	return owned == len(b.engines)
}

// WaitUntil returns once ok holds, or an error after readyTimeout.
func (b *Testbed) WaitUntil(ok func() bool) error {
	end := time.Now().Add(readyTimeout)
	for !ok() {
		if time.Now().After(end) {
			return merry.New("testbed: condition not met in time")
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// Stop kills all nodes and stops all targets.
func (b *Testbed) Stop() {
	for _, n := range b.RunningNodes() {
		b.KillNode(n.Name)
	}
	for _, e := range b.engines {
		e.Stop()
	}
}

// TargetCounts sums the counts of a pool's targets.
func (b *Testbed) TargetCounts(poolName string) engine.Counts {
	sum := engine.Counts{Orders: map[string]int{}}
	for _, e := range b.Targets(poolName) {
		c := e.Counts()
		sum.Runs += c.Runs
		sum.OverLimit += c.OverLimit
		sum.StaleFences += c.StaleFences
		sum.BusyMs += c.BusyMs
		sum.ColdLimit = c.ColdLimit
		sum.PeakConcurrency = max(sum.PeakConcurrency, c.PeakConcurrency)
		sum.ColdPeakConcurrency = max(sum.ColdPeakConcurrency, c.ColdPeakConcurrency)
		sum.LastArrivalMs = max(sum.LastArrivalMs, c.LastArrivalMs)
		for k, v := range c.Orders {
			sum.Orders[k] += v
		}
	}
	return sum
}

// Input returns the input of a request for an order.
func Input(order string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"order":%q}`, order))
}
