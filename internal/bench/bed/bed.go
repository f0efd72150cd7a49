package bed

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
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/bundle"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/span"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/journal"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/process"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/engine"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/gate"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

const (
	// StreamEvents is how many events a streamed answer has.
	StreamEvents = 8

	restartTime  = 500 * time.Millisecond
	readyTimeout = 20 * time.Second
	readyEvery   = 20 * time.Millisecond
	operator     = "bench"
)

// Config says what is run.
type Config struct {
	// Deployment is zoo or driveway.
	Deployment string
	// Nodes is how many nodes there are, spread over the data centres.
	Nodes int
	Seed  uint64
	// Log is where the nodes' logs go; nil drops them.
	Log io.Writer
	// Timing replaces the default timing, unless its lease is 0.
	Timing settings.Timing
	// Change alters the objects before they are published; it may be nil.
	Change func(release.Set)
	// Gates puts a gate before each node's peer side.
	Gates bool
	// Seeds are given to nodes that are started later on.
	Seeds []string
	// Warm starts the targets warm.
	Warm bool
}

// Node is one node of the bed.
type Node struct {
	Name    string
	Process *process.Process
	Link    *Link
	// Gate is before the node's peer side, nil without gates.
	Gate *gate.Gate
}

// Bed is a running deployment.
type Bed struct {
	cfg     Config
	Store   *store.Store
	Set     release.Set
	mu      sync.Mutex
	nodes   map[string]*Node
	names   []string
	engines map[string]*engine.Engine
	times   map[string]time.Duration
}

// quiet keeps go-zero's lines out of what a bed's user prints.
var quiet sync.Once

// Start brings a deployment up and returns once every node is ready and every target owned.
func Start(cfg Config) (*Bed, error) {
	quiet.Do(func() { journal.Adopt(journal.New(journal.Config{Level: "error", Format: "text", Out: io.Discard})) })
	b := &Bed{cfg: cfg, Store: store.New(), nodes: map[string]*Node{}, engines: map[string]*engine.Engine{}}
	if err := b.objects(); err != nil {
		return nil, merry.Prepend(err, "start bed")
	}
	dcs := sorted(b.Set.Datacentres)
	for i := range cfg.Nodes {
		name := fmt.Sprintf("%s-%d", dcs[i%len(dcs)], i/len(dcs)+1)
		b.names = append(b.names, name)
		if err := b.StartNode(name); err != nil {
			return nil, merry.Prepend(err, "start bed")
		}
	}
	if err := b.Publish(context.Background()); err != nil {
		return nil, merry.Prepend(err, "start bed")
	}
	return b, b.Await(func() bool { return b.settled() })
}

// objects reads the deployment's files and starts an engine for each target.
func (b *Bed) objects() error {
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
		if faults := files.Add(f.Name(), data); len(faults) > 0 {
			return faults
		}
	}
	b.Set = files.Set
	if b.times, err = serviceTimes(b.cfg.Deployment); err != nil {
		return err
	}
	if b.cfg.Change != nil {
		b.cfg.Change(b.Set)
	}
	for name, p := range b.Set.Pools {
		if p, err = b.startEngines(p); err != nil {
			return err
		}
		b.Set.Pools[name] = p
	}
	return nil
}

// serviceTimes reads how long a request takes at each target.
func serviceTimes(deployment string) (map[string]time.Duration, error) {
	data, err := examples.Files.ReadFile(path.Join(deployment, "targets.txt"))
	if err != nil {
		return nil, err
	}
	times := map[string]time.Duration{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		var name string
		for i, w := range words {
			switch w {
			case "--name":
				name = words[i+1]
			case "--service":
				var d span.Span
				if err := d.UnmarshalText([]byte(words[i+1])); err != nil {
					return nil, err
				}
				times[name] = d.Duration()
			}
		}
	}
	return times, lines.Err()
}

func (b *Bed) startEngines(p pool.Pool) (pool.Pool, error) {
	events := 0
	if p.Type == pool.Engine {
		events = StreamEvents
	}
	targets := append([]pool.Target(nil), p.Targets...)
	for i, t := range targets {
		e := engine.New(engine.Config{
			Name:    t.Name,
			Address: "127.0.0.1:0",
			Cold:    p.Cold,
			Warm:    p.Warm,
			Limit:   p.Limit,
			Service: b.times[t.Name],
			Events:  events,
			Restart: restartTime,
			Fenced:  p.Fenced,
		})
		if err := e.Start(); err != nil {
			return p, err
		}
		if b.cfg.Warm {
			e.Warm()
		}
		b.engines[t.Name] = e
		targets[i].Address = e.Address()
	}
	p.Targets = targets
	return p, nil
}

func sorted[T any](m map[string]T) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}

// StartNode starts a node, or starts one again that was stopped or killed.
func (b *Bed) StartNode(name string) error {
	s := settings.Default()
	s.Name = name
	s.Datacentre = name[:strings.LastIndex(name, "-")]
	s.Caller.Address = "127.0.0.1:0"
	s.Peer.Address = "127.0.0.1:0"
	s.Platform.URL = "http://127.0.0.1:1"
	s.Peer.Seeds = b.cfg.Seeds
	if b.cfg.Timing.Lease > 0 {
		s.Timing = b.cfg.Timing
	}
	l, err := net.Listen("tcp", s.Peer.Address)
	if err != nil {
		return err
	}
	n := &Node{Name: name, Link: newLink(b.Store)}
	cfg := process.Config{Settings: s, Log: journal.New(journal.Config{Level: "info", Format: "text", Out: io.Discard}), Seed: b.cfg.Seed, Platform: n.Link, Peer: l}
	if b.cfg.Log != nil {
		cfg.Log.SetOutput(b.cfg.Log)
	}
	if b.cfg.Gates {
		if n.Gate, err = gate.New(l.Addr().String()); err != nil {
			return err
		}
		cfg.Settings.Peer.Advertise = n.Gate.Address()
	}
	if n.Process, err = process.Start(cfg); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes[name] = n
	return nil
}

// Node gives a node by name, nil if it does not run.
func (b *Bed) Node(name string) *Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes[name]
}

// Names lists the nodes that were started.
func (b *Bed) Names() []string { return b.names }

// Running lists the nodes that run.
func (b *Bed) Running() []*Node {
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

// Callers lists the callers' addresses of the ready nodes, as a balancer would know them.
func (b *Bed) Callers() []string {
	var list []string
	for _, n := range b.Running() {
		if n.Process.Node().Ready() {
			list = append(list, n.Process.Caller())
		}
	}
	return list
}

func (b *Bed) remove(name string) *Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.nodes[name]
	delete(b.nodes, name)
	return n
}

// StopNode makes a planned stop of a node; the balancer sees it as not ready while it drains.
func (b *Bed) StopNode(ctx context.Context, name string) {
	if n := b.Node(name); n != nil {
		n.Process.Stop(ctx)
		b.remove(name)
		n.closeGate()
	}
}

// KillNode ends a node as a crash would.
func (b *Bed) KillNode(name string) {
	if n := b.remove(name); n != nil {
		n.Link.Cut(true)
		n.Process.Kill()
		n.closeGate()
	}
}

func (n *Node) closeGate() {
	if n.Gate != nil {
		n.Gate.Close()
	}
}

// Engine gives a target by name.
func (b *Bed) Engine(name string) *engine.Engine { return b.engines[name] }

// Engines lists the targets of a pool.
func (b *Bed) Engines(poolName string) []*engine.Engine {
	var list []*engine.Engine
	for _, t := range b.Set.Pools[poolName].Targets {
		list = append(list, b.engines[t.Name])
	}
	return list
}

// EnginesIn lists the targets in a data centre.
func (b *Bed) EnginesIn(datacentre string) []*engine.Engine {
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

// PoolRate is how many requests a second the warm targets of a pool can do.
func (b *Bed) PoolRate(name string) float64 {
	rate := 0.0
	p := b.Set.Pools[name]
	for _, t := range p.Targets {
		rate += float64(p.Limit) / b.times[t.Name].Seconds()
	}
	return rate
}

// Publish writes the bed's objects and publishes them at the platform.
func (b *Bed) Publish(ctx context.Context) error {
	_, err := b.PublishWith(ctx, publication.Order{Who: operator})
	return err
}

// PublishWith writes the bed's objects and publishes them as ordered.
func (b *Bed) PublishWith(ctx context.Context, w publication.Order) (publication.Result, error) {
	editor := process.Editor(b.Store)
	for _, o := range b.Set.Objects() {
		if err := b.write(ctx, editor, o); err != nil {
			return publication.Result{}, err
		}
	}
	p := publication.Publisher{Editor: editor, Floor: func() uint64 { return 0 }}
	return p.Publish(ctx, w)
}

func (b *Bed) write(ctx context.Context, editor edit.Editor, o release.Object) error {
	there, err := editor.Get(ctx, o.Kind, o.Name)
	if err == nil && bytes.Equal(there.Value, o.Value) {
		return nil
	}
	_, err = editor.Put(ctx, edit.Edit{Kind: o.Kind, Name: o.Name, Version: there.Version, Value: o.Value, Who: operator})
	return err
}

// settled tells whether every node is ready and every target has an owner.
func (b *Bed) settled() bool {
	owned := 0
	for _, n := range b.Running() {
		if !n.Process.Node().Ready() {
			return false
		}
		owned += len(n.Process.Node().OwnedTargets())
	}
	return owned == len(b.engines)
}

// Await returns once ok holds, or fails after a while.
func (b *Bed) Await(ok func() bool) error {
	end := time.Now().Add(readyTimeout)
	for !ok() {
		if time.Now().After(end) {
			return merry.New("bed: what was waited for has not come about")
		}
		time.Sleep(readyEvery)
	}
	return nil
}

// Stop ends everything at once.
func (b *Bed) Stop() {
	for _, n := range b.Running() {
		b.KillNode(n.Name)
	}
	for _, e := range b.engines {
		e.Stop()
	}
}

// Truth sums up what the targets of a pool ran.
func (b *Bed) Truth(poolName string) engine.Counts {
	sum := engine.Counts{Orders: map[string]int{}}
	for _, e := range b.Engines(poolName) {
		c := e.Counts()
		sum.Runs += c.Runs
		sum.Over += c.Over
		sum.Stale += c.Stale
		sum.BusyMs += c.BusyMs
		sum.Bound = c.Bound
		sum.Peak = max(sum.Peak, c.Peak)
		sum.ColdPeak = max(sum.ColdPeak, c.ColdPeak)
		sum.Last = max(sum.Last, c.Last)
		for k, v := range c.Orders {
			sum.Orders[k] += v
		}
	}
	return sum
}

// Input is the body of a request for an order.
func Input(order string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"order":%q}`, order))
}
