// Command lacewingdrift serves multi-stage model pipelines and operates the fleet of nodes that serve them.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/stopsignal"
)

// serveName is the name of the subcommand that stops by itself after a signal.
const serveName = "serve"

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lacewingdrift:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "lacewingdrift",
		Short:         "Serve multi-stage model pipelines under one deadline",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRun: func(c *cobra.Command, _ []string) {
			if c.Name() != serveName {
				stopsignal.Release()
			}
		},
	}
	c.AddCommand(
		serveCommand(),
		checkCommand(),
		applyCommand(),
		publishCommand(),
		rollbackCommand(),
		getCommand(),
		listCommand(),
		editCommand(),
		removeCommand(),
		auditCommand(),
		explainCommand(),
		statusCommand(),
		rolloutCommand(openPlatformStore),
		drainCommand(),
		restoreCommand(),
		demoCommand(),
		measureCommand(),
		versionCommand(),
	)
	return c
}
