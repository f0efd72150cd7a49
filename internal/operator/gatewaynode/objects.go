package gatewaynode

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// replaceConfig and applyConfig take a configuration into force, unless a higher one is.
func (p *picture) replaceConfig(l object.List) {
	for _, o := range l.Items {
		p.config(o)
	}
}

func (p *picture) applyConfig(e object.Event) {
	if e.Type == object.Put {
		p.config(e.Object)
	}
}

func (p *picture) config(o object.Object) {
	if o.Name != p.cfg.Platform.ConfigName {
		return
	}
	t, faults, err := p.cfg.Platform.ParseTable(o.Value)
	if err != nil {
		p.cfg.Log.WithError(err).WithField("revision", o.Version).Error("configuration: cannot be read, the one before stays in force")
		return
	}
	for _, f := range faults {
		p.cfg.Log.WithField("version", t.Version).Warn("configuration: left out: " + f.String())
	}
	if now := p.table.Load(); now != nil && now.Version >= t.Version {
		if now.Version > t.Version {
			p.cfg.Log.WithFields(logrus.Fields{"version": t.Version, "in_force": now.Version}).Warn("configuration: older than the one in force")
		}
		return
	}
	if p.table.Swap(t) == nil {
		close(p.ready)
	}
	p.meter.Gauge("configuration_version", float64(t.Version))
	p.cfg.Log.WithFields(logrus.Fields{"version": t.Version, "revision": o.Version, "routes": t.RouteCount()}).Info("configuration: in force")
}

func (p *picture) replaceTargets(l object.List) {
	p.joinTargets()
	now := p.cfg.Now()
	var list []registry.Target
	for _, o := range l.Items {
		t, err := p.cfg.Platform.ParseTarget(now, o)
		if err != nil {
			p.unreadable(o, err)
			continue
		}
		list = append(list, t)
	}
	hold := p.hold(now)
	p.set(func(r *registry.Registry) *registry.Registry { return r.WithTargets(list, hold) })
	p.expire(now, hold)
	p.listed.Store(true)
	p.cfg.Log.WithFields(logrus.Fields{"targets": len(list), "revision": l.Version}).Info("fleet: targets listed")
}

// joinFor is how long changes of targets are gathered before the roster is made anew: much less than the time in which a
// change must be in force.
const joinFor = 10 * time.Millisecond

// applyTarget has a change of a target taken over with those that come right behind it.
//
// It answers thousands of targets that join in one moment: making the roster anew costs as much for one as for all.
func (p *picture) applyTarget(e object.Event) {
	p.joining = append(p.joining, e)
	if len(p.joining) == 1 {
		time.AfterFunc(joinFor, func() {
			p.listing.Lock()
			defer p.listing.Unlock()
			p.joinTargets()
		})
	}
}

// joinTargets takes over the changes of targets that have been gathered; listing is held.
func (p *picture) joinTargets() {
	if len(p.joining) == 0 {
		return
	}
	now := p.cfg.Now()
	hold := p.hold(now)
	r := p.roster.Load()
	seen := map[string]registry.Target{}
	var changes []registry.Change
	lapsed := false
	for _, e := range p.joining {
		id := e.Object.Name
		before, ok := seen[id]
		if !ok {
			before, ok = r.Target(id)
		}
		c := p.targetChange(now, hold, e, before, ok)
		if c == nil {
			continue
		}
		changes = append(changes, c)
		switch c := c.(type) {
		case registry.Put:
			seen[id] = c.Target
		case registry.Lapsed:
			lapsed = true
		}
	}
	p.joining = nil
	p.set(func(r *registry.Registry) *registry.Registry { return r.With(changes...) })
	if lapsed {
		p.expire(now, hold)
	}
}

// targetChange tells what an event changes, nil for nothing; before is what is known of the target.
func (p *picture) targetChange(now, hold time.Time, e object.Event, before registry.Target, known bool) registry.Change {
	id := e.Object.Name
	if e.Type == object.Delete {
		return p.removed(now, hold, e.Object, before, known)
	}
	t, err := p.cfg.Platform.ParseTarget(now, e.Object)
	if err != nil {
		p.unreadable(e.Object, err)
		return registry.Removed{ID: id}
	}
	if t.Cold(now) && !before.Cold(now) {
		p.cfg.Log.WithFields(logrus.Fields{"target": id, "cold_ms": t.ColdUntil.Sub(now).Milliseconds(), "revision": e.Object.Version}).Info("fleet: target gets cold")
	}
	if !known || before.State != t.State || before.Address != t.Address || before.StartedAt != t.StartedAt {
		p.cfg.Log.WithFields(logrus.Fields{
			"target": id, "service": t.Service, "state": string(t.State), "address": t.Address, "revision": e.Object.Version,
			"cold_ms": max(0, t.ColdUntil.Sub(now).Milliseconds()),
		}).Info("fleet: target changed")
	}
	return registry.Put{Target: t}
}

// removed takes a target out, at once unless its entry may have ended with the store.
func (p *picture) removed(now, hold time.Time, o object.Object, before registry.Target, known bool) registry.Change {
	if !known {
		return nil
	}
	p.cfg.Log.WithFields(logrus.Fields{
		"target": o.Name, "service": before.Service, "revision": o.Version, "held_ms": max(0, hold.Sub(now).Milliseconds()),
	}).Info("fleet: target is gone")
	if hold.IsZero() || before.State != registry.Ready {
		return registry.Removed{ID: o.Name}
	}
	return registry.Lapsed{ID: o.Name, Until: hold}
}

// expire drops the targets that stay until hold, if they are not back by then.
func (p *picture) expire(now, hold time.Time) {
	if hold.IsZero() {
		return
	}
	time.AfterFunc(hold.Sub(now), func() {
		p.set(func(r *registry.Registry) *registry.Registry { return r.WithoutLapsed(p.cfg.Now()) })
	})
}

func (p *picture) unreadable(o object.Object, err error) {
	p.cfg.Log.WithError(err).WithFields(logrus.Fields{"object": o.Kind + "/" + o.Name, "revision": o.Version}).Warn("store: object cannot be read and names nothing")
}

func (p *picture) replaceOut(l object.List) {
	p.mu.Lock()
	p.out = map[string]bool{}
	for _, o := range l.Items {
		p.out[o.Name] = true
	}
	p.mu.Unlock()
	p.setOut(l.Version)
}

func (p *picture) applyOut(e object.Event) {
	p.mu.Lock()
	if e.Type == object.Delete {
		delete(p.out, e.Object.Name)
	} else {
		p.out[e.Object.Name] = true
	}
	p.mu.Unlock()
	p.setOut(e.Object.Version)
}

func (p *picture) setOut(version uint64) {
	p.mu.Lock()
	names := make([]string, 0, len(p.out))
	for n := range p.out {
		names = append(names, n)
	}
	p.mu.Unlock()
	p.set(func(r *registry.Registry) *registry.Registry { return r.WithOutOfService(names) })
	p.cfg.Log.WithFields(logrus.Fields{"out": p.roster.Load().OutOfService(), "revision": version}).Info("fleet: data centres taken out")
}

func (p *picture) replaceNodes(l object.List) {
	p.mu.Lock()
	p.nodes = map[string]registry.Node{}
	p.mu.Unlock()
	for _, o := range l.Items {
		p.node(o)
	}
	p.setNodes()
}

func (p *picture) applyNode(e object.Event) {
	if e.Type == object.Delete {
		p.mu.Lock()
		delete(p.nodes, e.Object.Name)
		p.mu.Unlock()
		p.cfg.Log.WithFields(logrus.Fields{"peer": e.Object.Name, "revision": e.Object.Version}).Info("fleet: node left")
	} else {
		p.node(e.Object)
	}
	p.setNodes()
}

func (p *picture) node(o object.Object) {
	n, err := p.cfg.Platform.ParseNode(o)
	if err != nil {
		p.unreadable(o, err)
		return
	}
	p.mu.Lock()
	before, known := p.nodes[n.Name]
	p.nodes[n.Name] = n
	p.mu.Unlock()
	if !known || before != n {
		p.cfg.Log.WithFields(logrus.Fields{"peer": n.Name, "address": n.Address, "revision": o.Version}).Info("fleet: node joined")
	}
}

func (p *picture) setNodes() {
	p.mu.Lock()
	list := make([]registry.Node, 0, len(p.nodes))
	for _, n := range p.nodes {
		list = append(list, n)
	}
	p.mu.Unlock()
	p.set(func(r *registry.Registry) *registry.Registry { return r.WithNodes(list) })
}
