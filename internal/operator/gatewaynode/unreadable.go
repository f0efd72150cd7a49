package gatewaynode

import (
	"fmt"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	// maxLoggedText bounds, in characters, what a line of the log repeats of another writer's object.
	maxLoggedText = 200
	// maxUncheckedBytes is the size of a content that is passed on to other nodes whether or not they can use it: far above that
	// of an entry.
	maxUncheckedBytes = 4 << 10
)

var errNameless = merry.Sentinel("object has no name")

// unreadableObjects remembers the objects that cannot be parsed, safe for concurrent use; the zero value has none.
type unreadableObjects struct {
	mu     sync.Mutex
	byKind map[string]map[string]bool
}

// add reports whether an object could be parsed before, or is new.
func (u *unreadableObjects) add(kind, name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byKind[kind][name] {
		return false
	}
	if u.byKind == nil {
		u.byKind = map[string]map[string]bool{}
	}
	if u.byKind[kind] == nil {
		u.byKind[kind] = map[string]bool{}
	}
	u.byKind[kind][name] = true
	return true
}

// remove reports whether an object could not be parsed before.
func (u *unreadableObjects) remove(kind, name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	was := u.byKind[kind][name]
	delete(u.byKind[kind], name)
	return was
}

// retain forgets the objects of a kind that a list lacks.
func (u *unreadableObjects) retain(kind string, l object.List) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.byKind[kind]) == 0 {
		return
	}
	listed := map[string]bool{}
	for _, o := range l.Items {
		if u.byKind[kind][o.Name] {
			listed[o.Name] = true
		}
	}
	u.byKind[kind] = listed
}

// noteUnreadable returns the log entry for an object that cannot be parsed, nil if the log has one already.
func (v *fleetView) noteUnreadable(o object.Object, err error) logrus.FieldLogger {
	if !v.unreadable.add(o.Kind, o.Name) {
		return nil
	}
	return v.cfg.Log.WithFields(logrus.Fields{
		"object": fmt.Sprintf("%.*s", maxLoggedText, o.Kind+"/"+o.Name), "revision": o.Version.Revision(), "bytes": len(o.Value), logrus.ErrorKey: fmt.Sprintf("%.*s", maxLoggedText, err.Error()),
	})
}

func (v *fleetView) logUnreadable(o object.Object, err error) {
	if log := v.noteUnreadable(o, err); log != nil {
		log.Warn("store: object cannot be parsed, ignored")
	}
}

// logReadable logs that an object can be parsed which could not be before.
func (v *fleetView) logReadable(o object.Object) {
	if v.unreadable.remove(o.Kind, o.Name) {
		v.cfg.Log.WithFields(logrus.Fields{"object": fmt.Sprintf("%.*s", maxLoggedText, o.Kind+"/"+o.Name), "revision": o.Version.Revision()}).Info("store: object can be parsed again")
	}
}

// named returns the objects of a list that have a name, and logs that there are others.
func (v *fleetView) named(l object.List) object.List {
	items := make([]object.Object, 0, len(l.Items))
	for _, o := range l.Items {
		if v.hasName(o) {
			items = append(items, o)
		}
	}
	l.Items = items
	return l
}

func (v *fleetView) hasName(o object.Object) bool {
	if o.Name == "" {
		v.logUnreadable(o, errNameless)
	}
	return o.Name != ""
}

// compactedList returns a list with the objects as they are kept for other nodes.
func (v *fleetView) compactedList(l object.List) object.List {
	items := make([]object.Object, 0, len(l.Items))
	for _, o := range l.Items {
		items = append(items, v.compacted(o))
	}
	l.Items = items
	return l
}

// compacted returns an object as it is kept for other nodes: without a large content that none of them can use. All nodes that
// follow a relay, or start while the store is unavailable, would have to receive it in time with all else.
func (v *fleetView) compacted(o object.Object) object.Object {
	if len(o.Value) > maxUncheckedBytes && !v.isUsable(o) {
		o.Value = nil
	}
	return o
}

// isUsable reports whether nodes use the content of an object.
func (v *fleetView) isUsable(o object.Object) bool {
	p := v.cfg.Platform
	var err error
	switch {
	case o.Kind == p.ConfigKind:
		return o.Name == p.ConfigName
	case o.Kind == p.TargetKind:
		_, err = p.ParseTarget(v.cfg.Now(), o)
	case o.Kind == p.EvacuationKind:
		return false
	case o.Kind == p.RolloutKind:
		_, _, err = p.ParseRollout(o)
	case o.Name == p.QuarantineName:
		_, err = p.ParseQuarantine(o)
	case p.CrashReportNode(o.Name) != "":
		_, err = p.ParseCrashReport(o)
	default:
		_, err = p.ParseNode(o)
	}
	return err == nil
}
