package gatewaynode

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// restoreHold is how long data centres out of service and nodes are kept although a store that came back from an older copy
// no longer lists them: operators and nodes write them again. Targets are held as after an outage. Nodes are kept as long when
// another writer has put something else in place of their entries.
const restoreHold = 3 * time.Second

// noteEra compares a list with the one that is known; it logs and returns true if the store has come back from an older copy
// in between. The caller holds updateMu.
func (v *fleetView) noteEra(kind string, l object.List) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.cached[kind]
	if known == nil || known.version.Era() >= l.Version.Era() {
		return false
	}
	v.availableSince[kind] = v.cfg.Now()
	v.meter.CountStoreChange(kind, "restored")
	v.meter.Gauge("store_era", float64(l.Version.Era()))
	lost := countLost(known.objects, l.Items)
	v.cfg.Log.WithFields(logrus.Fields{
		"kind": kind, "era": l.Version.Era(), "revision": l.Version.Revision(), "former_era": known.version.Era(), "former_revision": known.version.Revision(),
		"objects": len(l.Items), "lost": lost,
	}).Warn("store: came back from an older copy")
	return true
}

// countLost returns how many known objects a list of a later era lacks or has as they were before.
func countLost(known map[string]object.Object, restored []object.Object) int {
	lost := len(known)
	for _, o := range restored {
		if k, ok := known[o.Name]; ok && k.Version.Revision() <= o.Version.Revision() {
			lost--
		}
	}
	return lost
}

// holdMissingNodes keeps the nodes whose entries are gone or cannot be read, until they have had time to write them again.
// The caller holds mu.
func (v *fleetView) holdMissingNodes(former map[string]registry.Node) {
	held := map[string]registry.Node{}
	for name, n := range former {
		if _, ok := v.nodes[name]; !ok {
			v.nodes[name], held[name] = n, n
		}
	}
	v.expireNodes(held)
}

// expireNodes drops held nodes unless they have written their entries again by the end of restoreHold.
func (v *fleetView) expireNodes(held map[string]registry.Node) {
	if len(held) == 0 {
		return
	}
	time.AfterFunc(restoreHold, func() {
		v.mu.Lock()
		listed := v.cached[v.cfg.Platform.NodeKind]
		for name, n := range held {
			if _, err := v.cfg.Platform.ParseNode(listed.objects[name]); err != nil && v.nodes[name] == n {
				delete(v.nodes, name)
			}
		}
		v.mu.Unlock()
		v.setNodes()
	})
}

// holdMissingEvacuations keeps data centres out of service that a list of a later era lacks until operators have had time to
// write them again. The caller holds mu.
func (v *fleetView) holdMissingEvacuations(former map[string]bool) {
	held := map[string]bool{}
	for name := range former {
		if !v.outOfService[name] {
			v.outOfService[name], held[name] = true, true
		}
	}
	if len(held) == 0 {
		return
	}
	time.AfterFunc(restoreHold, func() {
		v.mu.Lock()
		listed := v.cached[v.cfg.Platform.EvacuationKind]
		for name := range held {
			if _, ok := listed.objects[name]; !ok {
				delete(v.outOfService, name)
			}
		}
		version := listed.version
		v.mu.Unlock()
		v.setOutOfService(version)
	})
}

// ownEntry is the entry of this node as it was last written.
type ownEntry struct {
	version   object.Version
	startedAt int64
}

// checkOwnEntry asks for the node's own entry to be written again if a list shows that the store has lost it.
func (v *fleetView) checkOwnEntry(l object.List) {
	own := v.ownEntry.Load()
	if own == nil || l.Version <= own.version {
		return
	}
	for _, o := range l.Items {
		if o.Name == v.cfg.Settings.Name && v.isOwnEntry(o, own) {
			return
		}
	}
	offer(v.entryLost, struct{}{})
}

// checkOwnEvent asks for the node's own entry to be written again if an event shows that another writer has replaced or deleted it.
func (v *fleetView) checkOwnEvent(e object.Event) {
	own := v.ownEntry.Load()
	if own == nil || e.Object.Name != v.cfg.Settings.Name || e.Object.Version <= own.version {
		return
	}
	if e.Type == object.Delete || !v.isOwnEntry(e.Object, own) {
		offer(v.entryLost, struct{}{})
	}
}

// isOwnEntry reports whether an object is the entry of this run of the node, or of a later one.
func (v *fleetView) isOwnEntry(o object.Object, own *ownEntry) bool {
	n, err := v.cfg.Platform.ParseNode(o)
	return err == nil && n.StartedAt >= own.startedAt
}
