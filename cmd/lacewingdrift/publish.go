package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
)

const publishUsage = `Publish checks every object in the platform as one set and puts the set in force as
a new release. It prints the release's number once it is accepted, and then how
many nodes have it, until all have or --wait is over.

A pool that would be left without any data centre that is in is refused; --force
overrides that one rule, needs a --reason, and stands in the audit trail.`

func publishCommand() *cobra.Command {
	var cl client
	var order operatorapi.PublishRequest
	var wait time.Duration
	c := &cobra.Command{
		Use:   "publish",
		Short: "Put the platform's objects in force",
		Long:  publishUsage,
		Example: `  lacewingdrift publish --plan
  lacewingdrift publish --reason 'more weight for families'`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return cl.publish(c.OutOrStdout(), "/v1/publish", order, wait)
		},
	}
	c.Flags().StringVar(&order.Reason, "reason", "", "why, for the audit trail")
	c.Flags().BoolVar(&order.Force, "force", false, "publish even if a pool is out of reach")
	c.Flags().BoolVar(&order.DryRun, "plan", false, "show what would change and publish nothing")
	c.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to wait for all nodes")
	return cl.flags(c)
}

func rollbackCommand() *cobra.Command {
	var cl client
	var order operatorapi.PublishRequest
	var wait time.Duration
	c := &cobra.Command{
		Use:   "rollback NUMBER",
		Short: "Put an earlier release's content in force under a new number",
		Long: `Rollback puts the content of an earlier release in force again, under a new number.
The objects in the platform stay as they are: the next publish puts them in force.`,
		Example: "  lacewingdrift rollback 41 --reason 'release 42 slowed the portal'",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := fmt.Sscan(args[0], &order.ReleaseNumber); err != nil {
				return merry.Errorf("number: must be a release number, not %q", args[0])
			}
			return cl.publish(c.OutOrStdout(), "/v1/rollback", order, wait)
		},
	}
	c.Flags().StringVar(&order.Reason, "reason", "", "why, for the audit trail")
	c.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to wait for all nodes")
	return cl.flags(c)
}

func (c *client) publish(w io.Writer, path string, order operatorapi.PublishRequest, wait time.Duration) error {
	if order.Force && order.Reason == "" {
		return merry.New("reason: is needed with --force")
	}
	var result publication.Result
	if err := c.call(http.MethodPost, path, order, &result); err != nil {
		return err
	}
	err := c.print(w, result, func(w io.Writer) {
		for _, change := range result.Changes {
			fmt.Fprintln(w, change)
		}
		if order.DryRun {
			fmt.Fprintf(w, "%d changes against release %d; nothing is published\n", len(result.Changes), result.Number)
			return
		}
		fmt.Fprintf(w, "release %d is accepted\n", result.Number)
	})
	if err != nil || order.DryRun || wait == 0 {
		return err
	}
	return c.await(w, result.Number, wait)
}

const statusEvery = 200 * time.Millisecond

// await prints how many nodes have a release until all have.
func (c *client) await(w io.Writer, number uint64, wait time.Duration) error {
	end := time.Now().Add(wait)
	last := -1
	for {
		var s operatorapi.FleetStatus
		if err := c.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
			return err
		}
		have := 0
		for _, n := range s.Nodes {
			if n.Release >= number {
				have++
			}
		}
		if have != last && !c.json() {
			fmt.Fprintf(w, "%d of %d nodes have release %d\n", have, len(s.Nodes), number)
			last = have
		}
		if have == len(s.Nodes) {
			return nil
		}
		if time.Now().After(end) {
			return merry.Errorf("release %d is accepted, and %d of %d nodes have it after %s", number, have, len(s.Nodes), wait)
		}
		time.Sleep(statusEvery)
	}
}
