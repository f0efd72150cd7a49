package gatewaynode

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	rolloutwire "github.com/lacewingdrift/lacewingdrift/internal/wire/rollout"
)

// errOrderChanged is the error of a write that comes after another state, or another order.
var errOrderChanged = merry.Sentinel("the order or its state has changed")

// buildRollouts sets the node up to take part in rollouts, if the deployment has them.
func (n *Node) buildRollouts() {
	s := n.cfg.Settings
	if s.Rollout.Share <= 0 {
		return
	}
	limits := rollout.Limits{Share: s.Rollout.Share, Extra: s.Rollout.Slack, Rollback: s.Rollout.Rollback}
	n.view.rollouts = rollout.NewKeeper(rollout.KeeperConfig{Self: s.Name, StartedAt: n.view.startedAt, Limits: limits})
	n.rollouts = rolloutwire.NewFollower(rolloutwire.Config{
		Self: s.Name, Keeper: n.view.rollouts, Registry: n.view.registry.Load, Write: n.view.writeRollout, Meter: n.meter, Log: n.cfg.Log, Now: n.cfg.Now,
	})
	n.view.onRollout = n.rollouts.OrderChanged
}

// replaceRollouts and applyRollout take in operators' orders and their states.
func (v *fleetView) replaceRollouts(l object.List) {
	services := map[string]bool{}
	for _, o := range l.Items {
		// An object that cannot be read now neither starts nor ends a rollout; orders have the names of their services.
		services[o.Name] = true
		v.setRollout(o)
	}
	v.rollouts.RetainOrders(v.cfg.Now(), services)
	v.rolloutsListed.Store(true)
	v.onRollout()
}

func (v *fleetView) applyRollout(e object.Event) {
	if e.Type == object.Delete {
		v.cfg.Log.WithFields(logrus.Fields{"service": e.Object.Name, "revision": e.Object.Version.Revision()}).Info("rollout: order was removed")
		v.rollouts.RemoveOrder(v.cfg.Now(), e.Object.Name)
		v.onRollout()
		return
	}
	v.setRollout(e.Object)
}

// setRollout takes in an order, unless its object cannot be read.
func (v *fleetView) setRollout(o object.Object) {
	order, status, err := v.cfg.Platform.ParseRollout(o)
	if err != nil {
		v.logUnreadable(o, err)
		return
	}
	v.logReadable(o)
	p, isNew := v.rollouts.SetOrder(v.cfg.Now(), order, status)
	if isNew {
		v.cfg.Log.WithFields(logrus.Fields{
			"service": order.Service, "version": order.Version, "state": string(p.State), "left_ms": p.Deadline().Sub(v.cfg.Now()).Milliseconds(), "revision": o.Version.Revision(),
		}).Info("rollout: order or state has changed")
	}
	v.onRollout()
}

// writeRollout stores a state of a rollout if the stored object is still the one that the node has read.
func (v *fleetView) writeRollout(ctx context.Context, p rollout.Progress, s rollout.State) error {
	kind, name := v.cfg.Platform.RolloutKind, p.Order.Service
	current, ok := v.cachedObject(kind, name)
	if !ok || !v.mayWrite(current, p.Order) {
		return merry.Prependf(errOrderChanged, "rollout %s", name)
	}
	status := v.cfg.Platform.RolloutStatus(rollout.Status{Version: p.Order.Version, State: s, Began: p.Began})
	o, err := v.cfg.Store.PutStatus(ctx, kind, name, current.Version, status)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		// Another node has written, or the answer to an earlier write of this node was lost.
		v.adoptRollout(conflict.Current, p.Order)
		return err
	}
	if err == nil {
		v.adoptRollout(o, p.Order)
	}
	return err
}

// mayWrite reports whether an object still holds an order without a final state.
func (v *fleetView) mayWrite(o object.Object, order rollout.Order) bool {
	stored, status, err := v.cfg.Platform.ParseRollout(o)
	return err == nil && stored.Is(order) && (status.Version != order.Version || !status.State.IsFinal())
}

// adoptRollout takes in the state of an order in an object that the store has returned, unless a later one is known.
//
// Another order is left to the watch: events from before it may still arrive, and would be taken for a return to the earlier order. The
// version of the list stays, since the changes of other objects up to that of this one have not been seen.
func (v *fleetView) adoptRollout(o object.Object, order rollout.Order) {
	v.updateMu.Lock()
	defer v.updateMu.Unlock()
	stored, _, err := v.cfg.Platform.ParseRollout(o)
	if err != nil || !stored.Is(order) {
		return
	}
	v.mu.Lock()
	c := v.cached[v.cfg.Platform.RolloutKind]
	known, ok := object.Object{}, false
	if c != nil {
		known, ok = c.objects[o.Name]
	}
	if !ok || o.Version <= known.Version {
		v.mu.Unlock()
		return
	}
	c.objects[o.Name] = o
	v.mu.Unlock()
	v.applyRollout(object.Event{Type: object.Put, Object: o})
}

// cachedObject returns an object as it was last read.
func (v *fleetView) cachedObject(kind, name string) (object.Object, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.cached[kind]
	if c == nil {
		return object.Object{}, false
	}
	o, ok := c.objects[name]
	return o, ok
}
