package gatewaynode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// replaceConfig and applyConfig put a configuration in force unless the same or a newer version already is.
func (v *fleetView) replaceConfig(l object.List) {
	for _, o := range l.Items {
		v.setConfig(o)
	}
}

func (v *fleetView) applyConfig(e object.Event) {
	if e.Type == object.Put {
		v.setConfig(e.Object)
	}
}

func (v *fleetView) setConfig(o object.Object) {
	if o.Name != v.cfg.Platform.ConfigName {
		return
	}
	t, violations, err := v.cfg.Platform.ParseTable(o.Value)
	if err != nil {
		if log := v.noteUnreadable(o, err); log != nil {
			log.Error("configuration: cannot be parsed, the previous one stays in force")
		}
		return
	}
	v.logReadable(o)
	if current := v.table.Load(); current != nil && current.Version >= t.Version {
		if current.Version > t.Version {
			v.cfg.Log.WithFields(logrus.Fields{"version": t.Version, "in_force": current.Version}).Warn("configuration: older than the one in force")
		}
		return
	}
	for _, violation := range violations {
		v.cfg.Log.WithField("version", t.Version).Warnf("configuration: ignored: %.*s", maxLoggedText, violation.String())
	}
	if v.table.Swap(t) == nil {
		close(v.tableLoaded)
	}
	v.meter.Gauge("configuration_version", float64(t.Version))
	v.cfg.Log.WithFields(logrus.Fields{"version": t.Version, "revision": o.Version.Revision(), "era": o.Version.Era(), "routes": t.RouteCount()}).Info("configuration: in force")
}

func (v *fleetView) replaceTargets(l object.List) {
	v.applyPending()
	now := v.cfg.Now()
	var list []registry.Target
	// A target whose entry cannot be read is not used, while one whose entry is missing may be held.
	var unreadable []registry.Change
	for _, o := range l.Items {
		t, err := v.cfg.Platform.ParseTarget(now, o)
		if err != nil {
			v.logUnreadable(o, err)
			unreadable = append(unreadable, registry.Removed{ID: o.Name})
			continue
		}
		v.logReadable(o)
		if t.State == registry.Draining {
			v.crashes.keeper.RecordPlannedStop(now, t.Run())
		}
		list = append(list, t)
	}
	hold := v.holdUntil(now)
	v.updateRegistry(func(r *registry.Registry) *registry.Registry { return r.WithTargets(list, hold).With(unreadable...) })
	v.scheduleExpiry(now, hold)
	v.targetsListed.Store(true)
	v.cfg.Log.WithFields(logrus.Fields{"targets": len(list), "revision": l.Version.Revision()}).Info("fleet: targets listed")
}

// coalesceWindow is how long changes of targets are collected before the registry is rebuilt: much less than the time in
// which a change must be in force.
const coalesceWindow = 10 * time.Millisecond

// applyTarget queues a target's change, which is applied together with those that follow within coalesceWindow.
//
// Thousands of targets may join at once, and rebuilding the registry costs as much for one change as for all.
func (v *fleetView) applyTarget(e object.Event) {
	v.pending = append(v.pending, e)
	if len(v.pending) == 1 {
		time.AfterFunc(coalesceWindow, func() {
			v.updateMu.Lock()
			defer v.updateMu.Unlock()
			v.applyPending()
		})
	}
}

// applyPending applies the queued changes of targets; the caller holds updateMu.
func (v *fleetView) applyPending() {
	if len(v.pending) == 0 {
		return
	}
	now := v.cfg.Now()
	hold := v.holdUntil(now)
	r := v.registry.Load()
	seen := map[string]registry.Target{}
	var changes []registry.Change
	hasExpired := false
	for _, e := range v.pending {
		id := e.Object.Name
		before, ok := seen[id]
		if !ok {
			before, ok = r.Target(id)
		}
		c := v.targetChange(now, hold, e, before, ok)
		if c == nil {
			continue
		}
		changes = append(changes, c)
		switch c := c.(type) {
		case registry.Put:
			seen[id] = c.Target
		case registry.Held:
			hasExpired = true
		}
	}
	v.pending = nil
	v.updateRegistry(func(r *registry.Registry) *registry.Registry { return r.With(changes...) })
	if hasExpired {
		v.scheduleExpiry(now, hold)
	}
}

// targetChange returns the registry change for an event, nil if there is none; before is the target's last known state.
func (v *fleetView) targetChange(now, hold time.Time, e object.Event, before registry.Target, known bool) registry.Change {
	id := e.Object.Name
	if e.Type == object.Delete {
		return v.removal(now, hold, e.Object, before, known)
	}
	t, err := v.cfg.Platform.ParseTarget(now, e.Object)
	if err != nil {
		v.logUnreadable(e.Object, err)
		return registry.Removed{ID: id}
	}
	v.logReadable(e.Object)
	if t.Cold(now) && !before.Cold(now) {
		v.cfg.Log.WithFields(logrus.Fields{"target": id, "cold_ms": t.ColdUntil.Sub(now).Milliseconds(), "revision": e.Object.Version.Revision()}).Info("fleet: target gets cold")
	}
	if !known || before.State != t.State || before.Address != t.Address || before.StartedAt != t.StartedAt {
		v.cfg.Log.WithFields(logrus.Fields{
			"target": id, "service": t.Service, "state": string(t.State), "address": t.Address, "revision": e.Object.Version.Revision(),
			"cold_ms": max(0, t.ColdUntil.Sub(now).Milliseconds()),
		}).Info("fleet: target changed")
	}
	if t.State == registry.Draining {
		v.crashes.keeper.RecordPlannedStop(now, t.Run())
	}
	return registry.Put{Target: t}
}

// removal returns the change for a deleted target: removed at once, or held for a while if its entry may have been lost
// in an outage of the store.
func (v *fleetView) removal(now, hold time.Time, o object.Object, before registry.Target, known bool) registry.Change {
	if !known {
		return nil
	}
	v.cfg.Log.WithFields(logrus.Fields{
		"target": o.Name, "service": before.Service, "revision": o.Version.Revision(), "held_ms": max(0, hold.Sub(now).Milliseconds()),
	}).Info("fleet: target is gone")
	if hold.IsZero() || before.State != registry.Ready {
		return registry.Removed{ID: o.Name}
	}
	return registry.Held{ID: o.Name, Until: hold}
}

// scheduleExpiry drops the targets that are held until hold, unless their entries are back by then.
func (v *fleetView) scheduleExpiry(now, hold time.Time) {
	if hold.IsZero() {
		return
	}
	time.AfterFunc(hold.Sub(now), func() {
		v.updateRegistry(func(r *registry.Registry) *registry.Registry { return r.WithoutExpired(v.cfg.Now()) })
	})
}

func (v *fleetView) replaceEvacuations(l object.List) {
	v.mu.Lock()
	former := v.outOfService
	v.outOfService = map[string]bool{}
	for _, o := range l.Items {
		v.outOfService[o.Name] = true
	}
	if v.restored {
		v.holdMissingEvacuations(former)
	}
	v.mu.Unlock()
	v.setOutOfService(l.Version)
}

func (v *fleetView) applyEvacuation(e object.Event) {
	v.mu.Lock()
	if e.Type == object.Delete {
		delete(v.outOfService, e.Object.Name)
	} else {
		v.outOfService[e.Object.Name] = true
	}
	v.mu.Unlock()
	v.setOutOfService(e.Object.Version)
}

func (v *fleetView) setOutOfService(version object.Version) {
	v.mu.Lock()
	names := make([]string, 0, len(v.outOfService))
	for n := range v.outOfService {
		names = append(names, n)
	}
	v.mu.Unlock()
	v.updateRegistry(func(r *registry.Registry) *registry.Registry { return r.WithOutOfService(names) })
	v.cfg.Log.WithFields(logrus.Fields{"out": v.registry.Load().OutOfService(), "revision": version.Revision()}).Info("fleet: data centres out of service")
}

// entryWait is how long a node that starts waits for the list that shows whether it has an entry from an earlier run.
const entryWait = 200 * time.Millisecond

// nodeEntryVersion returns the version of a node's entry, 0 if none is known.
func (v *fleetView) nodeEntryVersion(ctx context.Context, name string) object.Version {
	select {
	case <-ctx.Done():
	case <-v.nodesListed:
	case <-time.After(entryWait):
	}
	return v.cachedVersion(v.cfg.Platform.NodeKind, name)
}

// hasEarlierEntry reports whether the nodes' entries hold one from an earlier run of this node.
func (v *fleetView) hasEarlierEntry(ctx context.Context) bool {
	name := v.cfg.Settings.Name
	if v.nodeEntryVersion(ctx, name) == 0 {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.nodes[name].StartedAt != v.startedAt
}

// cachedVersion returns the version of an object as it was last read, 0 if it is not known.
func (v *fleetView) cachedVersion(kind, name string) object.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.cached[kind]; c != nil {
		return c.objects[name].Version
	}
	return 0
}

func (v *fleetView) replaceNodes(l object.List) {
	v.mu.Lock()
	former := v.nodes
	v.nodes = map[string]registry.Node{}
	v.mu.Unlock()
	// unreadable holds the known nodes whose entries cannot be read.
	unreadable := map[string]registry.Node{}
	for _, o := range l.Items {
		if v.cfg.Platform.CrashReportNode(o.Name) != "" || o.Name == v.cfg.Platform.QuarantineName || v.addNode(o) {
			continue
		}
		if n, ok := former[o.Name]; ok {
			unreadable[o.Name] = n
		}
	}
	v.shared.replace(l)
	v.crashes.replaceReports(l)
	if !v.restored {
		former = unreadable
	}
	v.mu.Lock()
	v.holdMissingNodes(former)
	v.mu.Unlock()
	v.setNodes()
	v.checkOwnEntry(l)
	v.listOnce.Do(func() { close(v.nodesListed) })
}

// applyNode takes in a node's report of crashes or what the fleet shares, or records a node's change and puts it in the registry together with those that follow within coalesceWindow.
func (v *fleetView) applyNode(e object.Event) {
	if node := v.cfg.Platform.CrashReportNode(e.Object.Name); node != "" {
		v.crashes.applyReport(node, e)
		return
	}
	if e.Object.Name == v.cfg.Platform.QuarantineName {
		v.shared.applyEvent(e)
		return
	}
	if e.Type == object.Delete {
		v.mu.Lock()
		delete(v.nodes, e.Object.Name)
		v.mu.Unlock()
		v.cfg.Log.WithFields(logrus.Fields{"peer": e.Object.Name, "revision": e.Object.Version.Revision()}).Info("fleet: node left")
	}
	isReadable := e.Type == object.Delete || v.addNode(e.Object)
	v.checkOwnEvent(e)
	v.mu.Lock()
	defer v.mu.Unlock()
	if n, ok := v.nodes[e.Object.Name]; ok && !isReadable {
		v.expireNodes(map[string]registry.Node{e.Object.Name: n})
	}
	if !v.nodesChanged {
		v.nodesChanged = true
		time.AfterFunc(coalesceWindow, v.setNodes)
	}
}

// addNode takes in a node's entry; it returns false if the entry cannot be read.
func (v *fleetView) addNode(o object.Object) bool {
	n, err := v.cfg.Platform.ParseNode(o)
	if err != nil {
		v.logUnreadable(o, err)
		return false
	}
	v.logReadable(o)
	v.mu.Lock()
	before, known := v.nodes[n.Name]
	v.nodes[n.Name] = n
	v.mu.Unlock()
	if !known || before != n {
		v.cfg.Log.WithFields(logrus.Fields{"peer": n.Name, "address": n.Address, "revision": o.Version.Revision()}).Info("fleet: node joined")
	}
	return true
}

func (v *fleetView) setNodes() {
	v.mu.Lock()
	v.nodesChanged = false
	list := make([]registry.Node, 0, len(v.nodes))
	for _, n := range v.nodes {
		list = append(list, n)
	}
	v.mu.Unlock()
	v.updateRegistry(func(r *registry.Registry) *registry.Registry { return r.WithNodes(list) })
}
