package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/bundle"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
)

const applyUsage = `Apply validates a directory of object files and then writes each object that differs
from the platform's, by conditional update. Objects that are in no file stay as they
are. Nothing takes effect before it is published.`

func applyCommand() *cobra.Command {
	var cl client
	var reason string
	c := &cobra.Command{
		Use:     "apply DIR",
		Short:   "Write a directory of objects to the platform",
		Long:    applyUsage,
		Example: "  lacewingdrift apply examples/zoo/objects --node http://127.0.0.1:8090 --reason 'first set'",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := bundle.Read(args[0])
			if err != nil {
				return err
			}
			written := 0
			for _, o := range b.Set.Objects() {
				changed, err := cl.apply(o, reason)
				if err != nil {
					return fmt.Errorf("%s/%s: %w", o.Kind, o.Name, err)
				}
				if changed {
					written++
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d objects written, %d unchanged\n", written, len(b.Set.Objects())-written)
			return nil
		},
	}
	c.Flags().StringVar(&reason, "reason", "", "reason for the change, for the audit trail")
	return cl.flags(c)
}

// apply writes one object if it differs from the stored one, and reports whether it wrote it.
func (c *client) apply(o release.Object, reason string) (bool, error) {
	stored, err := c.get(o.Kind, o.Name)
	var e *apiError
	missing := errors.As(err, &e) && e.code == http.StatusNotFound
	if err != nil && !missing {
		return false, err
	}
	if bytes.Equal(stored.Value, o.Value) {
		return false, nil
	}
	_, err = c.put(o.Kind, o.Name, operatorapi.PutRequest{Version: stored.Version, Value: o.Value, Reason: reason})
	return err == nil, err
}
