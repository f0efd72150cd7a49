package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/validation"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/platform"
)

// maxAbortTries bounds the tries to remove an order whose status the nodes write meanwhile, which they do twice at most.
const maxAbortTries = 5

// errOutcomeUnknown is the error of a write whose outcome is unknown: it got no answer, and the store cannot be read.
var errOutcomeUnknown = merry.Sentinel("whether it took effect is not known; see rollout status")

// violation returns the error for a field of an order.
func violation(service, field, format string, args ...any) error {
	return validation.Violations{{Kind: "rollout", Name: service, Field: field, Text: fmt.Sprintf(format, args...)}}
}

// textChanged is the violation of a conditional write.
const textChanged = "another operator has changed the order; nothing was written"

func isConflict(err error) bool {
	var conflict *object.ConflictError
	return errors.As(err, &conflict)
}

// isDecided reports whether a status is the final one of an order.
func isDecided(o rollout.Order, s rollout.Status) bool {
	return s.Version == o.Version && (s.State == rollout.Completed || s.State == rollout.RolledBack)
}

// rolloutOrders are the orders of rollouts in a store.
type rolloutOrders struct {
	store object.Store
}

// start writes an order, unless a rollout of its service is running.
func (r rolloutOrders) start(ctx context.Context, order rollout.Order) (rolloutChange, error) {
	spec, err := json.Marshal(platform.RolloutSpec(order))
	if err != nil {
		return rolloutChange{}, err
	}
	change := rolloutChange{after: spec}
	if _, _, err := platform.ParseRollout(object.Object{Name: order.Service, Value: spec}); err != nil {
		return change, err
	}
	if err := r.checkService(ctx, order.Service); err != nil {
		return change, err
	}
	current, err := r.store.Get(ctx, platform.KindRollouts, order.Service)
	if errors.Is(err, object.ErrNotFound) {
		change.revision, err = r.write(ctx, order.Service, 0, spec)
		return change, err
	}
	if err != nil {
		return change, err
	}
	change.before = current.Value
	present, status, err := platform.ParseRollout(current)
	switch {
	case err != nil:
		return change, merry.Prepend(err, "the present order cannot be read, abort it first")
	case !isDecided(present, status):
		return change, violation(order.Service, "status.state", "a rollout to %s is running; wait for its end or abort it", present.Version)
	case present.Version != order.Version:
		change.revision, err = r.write(ctx, order.Service, current.Version, spec)
		return change, err
	case status.State == rollout.Completed:
		return change, violation(order.Service, "target", "%s is the version of the last rollout, which is completed", order.Version)
	}
	// An order of the same version is a new one only if its object is created again.
	err = r.remove(ctx, order.Service, current.Version)
	if isConflict(err) {
		return change, violation(order.Service, "metadata.revision", textChanged)
	}
	if err != nil {
		return change, err
	}
	change.revision, err = r.write(ctx, order.Service, 0, spec)
	return change, merry.Prepend(err, "the former order is removed")
}

// checkService returns an error unless the configuration has a service.
func (r rolloutOrders) checkService(ctx context.Context, service string) error {
	o, err := r.store.Get(ctx, platform.KindConfig, platform.ConfigName)
	if err != nil {
		return err
	}
	table, _, err := platform.ParseTable(o.Value)
	if err != nil {
		return err
	}
	if _, ok := table.Service(service); !ok {
		return violation(service, "service", "is not in the configuration")
	}
	return nil
}

// write writes an order if its object still has a version, and returns the revision; after a lost answer it reads the object.
func (r rolloutOrders) write(ctx context.Context, service string, version object.Version, spec json.RawMessage) (uint64, error) {
	written, err := r.store.Put(ctx, platform.KindRollouts, service, version, spec)
	if err == nil {
		return written.Version.Revision(), nil
	}
	if isConflict(err) || errors.Is(err, object.ErrNotFound) {
		return 0, violation(service, "metadata.revision", textChanged)
	}
	current, readErr := r.store.Get(ctx, platform.KindRollouts, service)
	if readErr != nil && !errors.Is(readErr, object.ErrNotFound) {
		return 0, merry.Wrap(errOutcomeUnknown, merry.WithCause(err), merry.PrependMessagef("rollout %q", service))
	}
	want, _, _ := platform.ParseRollout(object.Object{Name: service, Value: spec})
	if got, _, parseErr := platform.ParseRollout(current); readErr == nil && parseErr == nil && current.Version != version {
		got.Created = 0
		if got == want {
			return current.Version.Revision(), nil
		}
	}
	return 0, merry.Prependf(err, "rollout %q: nothing was written", service)
}

// remove removes an order if its object still has a version; the error is a *object.ConflictError otherwise. After a lost answer it
// reads the object.
func (r rolloutOrders) remove(ctx context.Context, service string, version object.Version) error {
	err := r.store.Delete(ctx, platform.KindRollouts, service, version)
	if err == nil || errors.Is(err, object.ErrNotFound) {
		return nil
	}
	if isConflict(err) {
		return err
	}
	current, readErr := r.store.Get(ctx, platform.KindRollouts, service)
	switch {
	case errors.Is(readErr, object.ErrNotFound):
		return nil
	case readErr != nil || current.Version != version:
		return merry.Wrap(errOutcomeUnknown, merry.WithCause(err), merry.PrependMessagef("rollout %q", service))
	default:
		return merry.Prependf(err, "rollout %q: nothing was removed", service)
	}
}

// abort removes the order of a service that is not decided, or cannot be read.
func (r rolloutOrders) abort(ctx context.Context, service string) (rolloutChange, error) {
	var change rolloutChange
	if service == "" {
		return change, violation(service, "name", "is missing")
	}
	for range maxAbortTries {
		current, err := r.store.Get(ctx, platform.KindRollouts, service)
		if errors.Is(err, object.ErrNotFound) {
			return change, violation(service, "name", "there is no order")
		}
		if err != nil {
			return change, err
		}
		change.before = current.Value
		if order, status, err := platform.ParseRollout(current); err == nil && isDecided(order, status) {
			return change, violation(service, "status.state", "is %s already", status.State)
		}
		err = r.remove(ctx, service, current.Version)
		if !isConflict(err) {
			return change, err
		}
	}
	return change, violation(service, "metadata.revision", "the order changes all the time; nothing was removed")
}

// listedRollout is an order with its status and its targets.
type listedRollout struct {
	name   string
	order  rollout.Order
	status rollout.Status
	// err is set for an order that cannot be read.
	err error
	// newTargets and otherTargets are the numbers of ready targets of the ordered version and of others.
	newTargets, otherTargets int
}

// list returns all orders, sorted by service.
func (r rolloutOrders) list(ctx context.Context) ([]listedRollout, error) {
	orders, err := r.store.List(ctx, platform.KindRollouts, "")
	if err != nil {
		return nil, err
	}
	targets, err := r.store.List(ctx, platform.KindTargets, "")
	if err != nil {
		return nil, err
	}
	var list []listedRollout
	for _, o := range orders.Items {
		l := listedRollout{name: o.Name}
		l.order, l.status, l.err = platform.ParseRollout(o)
		for _, t := range targets.Items {
			target, err := platform.ParseTarget(time.Time{}, t)
			switch {
			case err != nil || target.Service != o.Name || target.State != registry.Ready:
			case target.Software == l.order.Version:
				l.newTargets++
			default:
				l.otherTargets++
			}
		}
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b listedRollout) int { return cmp.Compare(a.name, b.name) })
	return list, nil
}

func filterRollouts(list []listedRollout, service string) []listedRollout {
	return slices.DeleteFunc(list, func(l listedRollout) bool { return l.name != service })
}

// stateOf returns the state of the ordered version's rollout, "ordered" if no node has written one.
func (l listedRollout) stateOf() string {
	if l.status.State == "" || l.status.Version != l.order.Version {
		return "ordered"
	}
	return string(l.status.State)
}

func printRollouts(w io.Writer, list []listedRollout) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tVERSION\tSTATE\tFOR\tBEGAN\tDEADLINE\tNEW\tOTHERS")
	for _, l := range list {
		if l.err != nil {
			fmt.Fprintf(t, "%s\t-\tunreadable\t-\t-\t-\t-\t%d\n", l.name, l.otherTargets)
			continue
		}
		began, deadline := "-", "-"
		if l.stateOf() != "ordered" && !l.status.Began.IsZero() {
			began, deadline = formatTime(l.status.Began), formatTime(l.status.Began.Add(l.order.Duration))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", l.name, l.order.Version, l.stateOf(), l.order.Duration, began, deadline, l.newTargets, l.otherTargets)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, l := range list {
		if l.err != nil {
			fmt.Fprintln(w, l.err)
		}
	}
	return nil
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05Z") }
