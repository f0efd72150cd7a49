// Command lacewingdrift serves multi-stage model pipelines and operates the fleet of nodes that serve them.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

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
		drainCommand(),
		restoreCommand(),
		demoCommand(),
		measureCommand(),
		versionCommand(),
	)
	return c
}
