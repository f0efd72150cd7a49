package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rollout"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/audit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/logging"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/platform"
)

const rolloutUsage = `Rollout moves the requests of a service on the users' platform to another version. The
nodes try the version with few requests, and complete the rollout or roll it back by
its deadline. The commands act on the platform's store at --store, or on the one that
the settings file in LACEWINGDRIFT_NODE_FILE names. Each change writes an audit line to
standard error.`

// openPlatformStore returns a client of the store at an address.
func openPlatformStore(address string) object.Store {
	logging.RedirectGoZero(logging.New(logging.Config{Level: "error", Out: os.Stderr}))
	return platform.NewStore(platform.StoreConfig{Address: address})
}

func rolloutCommand(open func(address string) object.Store) *cobra.Command {
	c := &cobra.Command{
		Use:   "rollout",
		Short: "Start, show and abort rollouts of a service's version",
		Long:  rolloutUsage,
		Args:  cobra.NoArgs,
	}
	c.AddCommand(startRolloutCommand(open), rolloutStatusCommand(open), abortRolloutCommand(open))
	return c
}

func startRolloutCommand(open func(string) object.Store) *cobra.Command {
	f := rolloutFlags{open: open}
	var duration time.Duration
	c := &cobra.Command{
		Use:     "start SERVICE VERSION --for DURATION",
		Short:   "Order that a service's requests move to a version",
		Long:    "Start orders that the requests of a service move to a version within a time. It is refused while\na rollout of the service is running.",
		Example: "  lacewingdrift rollout start letters v2 --for 30s --reason 'new model'",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			order := rollout.Order{Service: args[0], Version: args[1], Duration: duration}
			return f.change(c, audit.StartRollout, order.Service, func(ctx context.Context, o rolloutOrders) (rolloutChange, error) {
				return o.start(ctx, order)
			}, func(w io.Writer, r rolloutChange) {
				fmt.Fprintf(w, "rollout of %s to %s is ordered: revision %d, to be decided within %s\n", order.Service, order.Version, r.revision, order.Duration)
			})
		},
	}
	c.Flags().DurationVar(&duration, "for", 0, "time from the order to its deadline")
	_ = c.MarkFlagRequired("for")
	f.addWrite(c)
	return c
}

func abortRolloutCommand(open func(string) object.Store) *cobra.Command {
	f := rolloutFlags{open: open}
	c := &cobra.Command{
		Use:     "abort SERVICE",
		Short:   "Remove the order of a rollout that is not decided",
		Long:    "Abort removes the order of a rollout: nothing more is sent to the new version. It is refused once the\nrollout is completed or rolled back.",
		Example: "  lacewingdrift rollout abort letters --reason 'wrong version'",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return f.change(c, audit.AbortRollout, args[0], func(ctx context.Context, o rolloutOrders) (rolloutChange, error) {
				return o.abort(ctx, args[0])
			}, func(w io.Writer, _ rolloutChange) {
				fmt.Fprintf(w, "rollout of %s is aborted\n", args[0])
			})
		},
	}
	f.addWrite(c)
	return c
}

func rolloutStatusCommand(open func(string) object.Store) *cobra.Command {
	f := rolloutFlags{open: open}
	c := &cobra.Command{
		Use:     "status [SERVICE]",
		Short:   "Show the orders with their states and the ready targets",
		Long:    "Status shows each order with its state (ordered: no node has written one yet), and the ready targets of\nthe ordered version and of others.",
		Example: "  lacewingdrift rollout status",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			orders, err := f.orders()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
			defer cancel()
			list, err := orders.list(ctx)
			if err != nil {
				return err
			}
			if len(args) > 0 {
				if list = filterRollouts(list, args[0]); len(list) == 0 {
					return violation(args[0], "name", "there is no order")
				}
			}
			return printRollouts(c.OutOrStdout(), list)
		},
	}
	f.add(c)
	return c
}

// rolloutFlags holds the flags of the rollout commands.
type rolloutFlags struct {
	open             func(address string) object.Store
	address          string
	operator, reason string
}

func (f *rolloutFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.address, "store", "", "IP:PORT of the platform's store, by default from the settings file")
}

// addWrite adds the flags of a command that changes an order.
func (f *rolloutFlags) addWrite(c *cobra.Command) {
	f.add(c)
	c.Flags().StringVar(&f.operator, "who", os.Getenv("USER"), "name of the operator, for the audit line")
	c.Flags().StringVar(&f.reason, "reason", "", "reason for the change, for the audit line")
}

// orders returns the orders in the store that the flags or the settings name.
func (f *rolloutFlags) orders() (rolloutOrders, error) {
	if f.address != "" {
		if !settings.ValidAddress(f.address) {
			return rolloutOrders{}, merry.Errorf("--store: must be IP:PORT, not %q", f.address)
		}
		return rolloutOrders{store: f.open(f.address)}, nil
	}
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return rolloutOrders{}, merry.Errorf("--store: is missing, and %s is not set", platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return rolloutOrders{}, err
	}
	return rolloutOrders{store: f.open(s.StoreAddress)}, nil
}

// change makes a change, logs its audit line and prints its result.
func (f *rolloutFlags) change(c *cobra.Command, action audit.Action, service string, apply func(context.Context, rolloutOrders) (rolloutChange, error), print func(io.Writer, rolloutChange)) error {
	orders, err := f.orders()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	result, err := apply(ctx, orders)
	record := audit.Record{Operator: f.operator, Time: time.Now(), Action: action, Object: platform.KindRollouts + "/" + service, Reason: f.reason, Before: result.before, After: result.after}
	log := logging.New(logging.Config{Level: "info", Format: "json", Out: c.ErrOrStderr()})
	switch {
	case errors.Is(err, errOutcomeUnknown):
		record.Log(log.WithError(err))
		return err
	case err != nil:
		record.Refused = err.Error()
		record.Log(log)
		return err
	}
	record.Log(log)
	print(c.OutOrStdout(), result)
	return nil
}

// rolloutChange is a change of an order: its spec before and after, nil for no order.
type rolloutChange struct {
	before, after json.RawMessage
	revision      uint64
}
