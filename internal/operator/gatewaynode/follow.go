package gatewaynode

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/route"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/metrics"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/informer"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/snapshot"
)

// awayPause is how long a kind of object is not asked for while the store does not answer for the configuration; it only
// bounds what a store costs that answers for some kinds.
const awayPause = 5 * time.Second

// lapse is how long a target stays in use whose entry went while the store was away; a live target is back in the
// store in about two seconds.
const lapse = 1500 * time.Millisecond

// Adapter reads the platform's objects.
type Adapter struct {
	// ConfigKind, TargetKind, EvacuationKind and NodeKind are the kinds of object; ConfigName is the configuration in force.
	ConfigKind, TargetKind, EvacuationKind, NodeKind, ConfigName string
	// ParseTable reads a configuration and lists what in it cannot be used.
	ParseTable func(spec []byte) (*route.Table, validation.Violations, error)
	// ParseTarget reads a target's entry as seen at a time.
	ParseTarget func(now time.Time, o object.Object) (registry.Target, error)
	// ParseNode and Member read and write a node's entry.
	ParseNode func(o object.Object) (registry.Node, error)
	NodeEntry func(n registry.Node) any
}

// picture is what a node believes of the configuration and the fleet.
type picture struct {
	cfg    Config
	meter  *metrics.Meter
	table  atomic.Pointer[route.Table]
	roster atomic.Pointer[registry.Registry]
	listed atomic.Bool
	// ready is closed once there is a table.
	ready   chan struct{}
	changed func()

	// listing keeps another node's older list from going over one of the store, and guards joining.
	listing sync.Mutex
	// joining are the events of targets that are not in the roster yet.
	joining []object.Event

	mu sync.Mutex
	// out and nodes are the objects of the two kinds, by name.
	out   map[string]bool
	nodes map[string]registry.Node
	// lost is when the store was last found not to answer, by kind; back when it answered again.
	lost map[string]bool
	back map[string]time.Time
	// answers is closed and made anew when the store answers again for the kind that tries it.
	answers chan struct{}
	// raw is the objects that were read, by kind, for nodes that start while the store is away.
	raw map[string]*known
	// lastHeard is when the store last answered, by kind.
	lastHeard map[string]time.Time

	// hub passes changes on to the nodes that this one relays to.
	hub snapshot.Broadcaster
	tap tap
}

func newPicture(cfg Config, m *metrics.Meter) *picture {
	p := &picture{cfg: cfg, meter: m, ready: make(chan struct{}), out: map[string]bool{}, nodes: map[string]registry.Node{}, lost: map[string]bool{}, back: map[string]time.Time{}, answers: make(chan struct{}), raw: map[string]*known{}, lastHeard: map[string]time.Time{}, tap: newTap()}
	p.roster.Store(registry.New())
	return p
}

// followed is what takes over the objects of one kind.
type followed struct {
	replace func(object.List)
	apply   func(object.Event)
}

// kinds gives every kind that a node follows.
func (p *picture) kinds() map[string]followed {
	k := p.cfg.Platform
	return map[string]followed{
		k.ConfigKind:     {p.replaceConfig, p.applyConfig},
		k.TargetKind:     {p.replaceTargets, p.applyTarget},
		k.EvacuationKind: {p.replaceOut, p.applyOut},
		k.NodeKind:       {p.replaceNodes, p.applyNode},
	}
}

func (p *picture) follow(ctx context.Context, kind string, k followed) {
	informer.New(informer.Config{
		Store: tapped{Store: p.cfg.Store, tap: &p.tap}, Kind: kind,
		Replace:   func(l object.List) { p.replace(kind, l, k.replace) },
		Apply:     func(e object.Event) { p.apply(kind, e, k.apply) },
		OnContact: func() { p.heard(kind) },
		OnError:   func(err error) { p.failed(kind, err) },
		Backoff:   func(ctx context.Context, d time.Duration) { p.pause(ctx, kind, d) },
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}).Run(ctx)
}

// replace takes a list over, and passes it on.
func (p *picture) replace(kind string, l object.List, to func(object.List)) {
	p.listing.Lock()
	defer p.listing.Unlock()
	p.keep(kind, l)
	p.hub.Publish(snapshot.Update{Lists: map[string]object.List{kind: l}})
	to(l)
}

// apply takes a change over, and passes it on.
func (p *picture) apply(kind string, e object.Event, to func(object.Event)) {
	p.listing.Lock()
	defer p.listing.Unlock()
	p.change(kind, e)
	p.hub.Publish(snapshot.Update{Events: []object.Event{e}})
	to(e)
}

// known is what was read of one kind, as of a version.
type known struct {
	version uint64
	objects map[string]object.Object
}

func (k *known) list() object.List {
	l := object.List{}
	if k == nil {
		return l
	}
	l.Version = k.version
	l.Items = make([]object.Object, 0, len(k.objects))
	for _, o := range k.objects {
		l.Items = append(l.Items, o)
	}
	return l
}

// keep remembers a list as it was read.
func (p *picture) keep(kind string, l object.List) {
	k := &known{version: l.Version, objects: make(map[string]object.Object, len(l.Items))}
	for _, o := range l.Items {
		k.objects[o.Name] = o
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw[kind] = k
}

// change brings a remembered list up to date.
func (p *picture) change(kind string, e object.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.raw[kind]
	if k == nil {
		k = &known{objects: map[string]object.Object{}}
		p.raw[kind] = k
	}
	k.version = max(k.version, e.Object.Version)
	if e.Type == object.Put {
		k.objects[e.Object.Name] = e.Object
	} else {
		delete(k.objects, e.Object.Name)
	}
}

// Lists gives what was read, by kind.
func (p *picture) Lists() map[string]object.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	lists := make(map[string]object.List, len(p.raw))
	for kind, k := range p.raw {
		lists[kind] = k.list()
	}
	return lists
}

// Subscribe gives what was read and every change after it.
func (p *picture) Subscribe() (map[string]object.List, <-chan snapshot.Update, func()) {
	p.listing.Lock()
	defer p.listing.Unlock()
	ch := p.hub.Subscribe()
	return p.Lists(), ch, func() { p.hub.Unsubscribe(ch) }
}

// Staleness is how long the store has not been heard of configuration or targets.
func (p *picture) Staleness() time.Duration {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.cfg.Platform
	return max(now.Sub(p.lastHeard[k.ConfigKind]), now.Sub(p.lastHeard[k.TargetKind]))
}

// adopt takes another node's lists for the kinds that the store has not given yet.
func (p *picture) adopt(from string, lists map[string]object.List) {
	p.listing.Lock()
	defer p.listing.Unlock()
	for kind, k := range p.kinds() {
		p.mu.Lock()
		_, read := p.raw[kind]
		p.mu.Unlock()
		if l, ok := lists[kind]; ok && !read {
			k.replace(l)
			p.cfg.Log.WithFields(logrus.Fields{"kind": kind, "from": from, "revision": l.Version, "objects": len(l.Items)}).Info("store: list taken from another node")
		}
	}
}

// heard notes that the store answers.
func (p *picture) heard(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard[kind] = p.cfg.Now()
	if p.lost[kind] {
		p.lost[kind] = false
		p.back[kind] = p.cfg.Now()
		p.meter.CountSourceChange(kind, "back")
		if kind == p.cfg.Platform.ConfigKind {
			close(p.answers)
			p.answers = make(chan struct{})
		}
		p.cfg.Log.WithField("kind", kind).Info("store: answers again")
	}
}

// pause waits before the store is asked for a kind again. While it does not answer for the configuration, that alone is
// tried: each call has its price, and all nodes make them.
func (p *picture) pause(ctx context.Context, kind string, d time.Duration) {
	p.mu.Lock()
	away, answers := p.lost[p.cfg.Platform.ConfigKind], p.answers
	p.mu.Unlock()
	if away && kind != p.cfg.Platform.ConfigKind {
		d = max(d, awayPause)
	} else {
		answers = nil
	}
	select {
	case <-ctx.Done():
	case <-answers:
	case <-time.After(d):
	}
}

// failed notes that the store does not answer.
func (p *picture) failed(kind string, err error) {
	if errors.Is(err, errAttached) || errors.Is(err, errDetached) {
		return
	}
	if errors.Is(err, object.ErrGone) {
		p.cfg.Log.WithField("kind", kind).Info("store: history is gone, the list is read again")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lost[kind] {
		p.lost[kind] = true
		p.meter.CountSourceChange(kind, "lost")
		p.cfg.Log.WithError(err).WithField("kind", kind).Warn("store: does not answer")
	}
}

// hold is until when targets stay whose entries are gone, zero if the store was not away.
func (p *picture) hold(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	back, ok := p.back[p.cfg.Platform.TargetKind]
	if !ok || now.Sub(back) >= lapse {
		return time.Time{}
	}
	return back.Add(lapse)
}

func (p *picture) set(change func(*registry.Registry) *registry.Registry) {
	p.mu.Lock()
	r := change(p.roster.Load())
	p.roster.Store(r)
	p.mu.Unlock()
	p.meter.Gauge("targets", float64(r.TargetCount()))
	p.meter.Gauge("nodes", float64(len(r.NodeNames())))
	p.changed()
}
