package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
)

const statusUsage = `Status shows every node with its release, and every target with the state that its
owner reports.`

func statusCommand() *cobra.Command {
	var cl client
	c := &cobra.Command{
		Use:     "status",
		Short:   "Show nodes, releases and targets",
		Long:    statusUsage,
		Example: "  lacewingdrift status --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s operatorapi.FleetStatus
			if err := cl.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
				return err
			}
			return cl.print(c.OutOrStdout(), s, func(w io.Writer) { printStatus(w, s) })
		},
	}
	return cl.flags(c)
}

func printStatus(w io.Writer, s operatorapi.FleetStatus) {
	for _, n := range s.Nodes {
		if !n.Reachable {
			fmt.Fprintf(w, "%-12s %-12s %-9s does not answer\n", n.Name, n.Datacentre, n.State)
			continue
		}
		fmt.Fprintf(w, "%-12s %-12s %-9s release %d ready %t running %d shards %d\n", n.Name, n.Datacentre, n.State, n.Release, n.Ready, n.ActiveRequests, n.Shards)
		for _, t := range n.Targets {
			fmt.Fprintf(w, "  %-20s %-5s running %d queued %d level %d %s\n", t.Name, t.Phase, t.Running, t.Queued, t.ConcurrencyLimit, t.BlockedReason)
		}
	}
}
