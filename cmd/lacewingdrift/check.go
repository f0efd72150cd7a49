package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/bundle"
)

const checkUsage = `Check reads every .toml file of a directory as one set of objects and lists every
violation with its file, object and field. It needs no node. The exit code is 1 if
there is any violation.`

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check DIR",
		Short:   "Validate a directory of object files",
		Long:    checkUsage,
		Example: "  lacewingdrift check examples/zoo/objects",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := bundle.Read(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d objects, no violations\n", len(b.Set.Objects()))
			return nil
		},
	}
}
