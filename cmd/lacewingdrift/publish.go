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

const publishUsage = `Publish validates all objects in the platform as one set and activates the set as a
new release. It prints the number of the release once it is accepted, and then how
many nodes have it, until all nodes have it or --wait is over.

A release that leaves a pool without a data centre in service is refused. --force
overrides this rule only; it needs a --reason and is recorded in the audit trail.`

func publishCommand() *cobra.Command {
	var cl client
	var req operatorapi.PublishRequest
	var wait time.Duration
	c := &cobra.Command{
		Use:   "publish",
		Short: "Activate the platform's objects as a new release",
		Long:  publishUsage,
		Example: `  lacewingdrift publish --plan
  lacewingdrift publish --reason 'more weight for families'`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return cl.publish(c.OutOrStdout(), "/v1/publish", req, wait)
		},
	}
	c.Flags().StringVar(&req.Reason, "reason", "", "reason for the change, for the audit trail")
	c.Flags().BoolVar(&req.Force, "force", false, "publish even if a pool is left without a data centre in service")
	c.Flags().BoolVar(&req.DryRun, "plan", false, "show the changes without publishing them")
	c.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to wait until all nodes have the release")
	return cl.flags(c)
}

func rollbackCommand() *cobra.Command {
	var cl client
	var req operatorapi.PublishRequest
	var wait time.Duration
	c := &cobra.Command{
		Use:   "rollback NUMBER",
		Short: "Activate the content of an earlier release under a new number",
		Long: `Rollback activates the content of an earlier release again, under a new number. The
objects in the platform stay as they are: the next publish activates them.`,
		Example: "  lacewingdrift rollback 41 --reason 'release 42 slowed the portal'",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := fmt.Sscan(args[0], &req.ReleaseNumber); err != nil {
				return merry.Errorf("number: must be a release number, not %q", args[0])
			}
			return cl.publish(c.OutOrStdout(), "/v1/rollback", req, wait)
		},
	}
	c.Flags().StringVar(&req.Reason, "reason", "", "reason for the change, for the audit trail")
	c.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to wait until all nodes have the release")
	return cl.flags(c)
}

func (c *client) publish(w io.Writer, path string, req operatorapi.PublishRequest, wait time.Duration) error {
	if req.Force && req.Reason == "" {
		return merry.New("reason: is needed with --force")
	}
	var result publication.Result
	if err := c.call(http.MethodPost, path, req, &result); err != nil {
		return err
	}
	err := c.print(w, result, func(w io.Writer) {
		for _, change := range result.Changes {
			fmt.Fprintln(w, change)
		}
		if req.DryRun {
			fmt.Fprintf(w, "%d changes against release %d; nothing was published\n", len(result.Changes), result.Number)
			return
		}
		fmt.Fprintf(w, "release %d is accepted\n", result.Number)
	})
	if err != nil || req.DryRun || wait == 0 {
		return err
	}
	return c.awaitRelease(w, result.Number, wait)
}

const statusInterval = 200 * time.Millisecond

// awaitRelease prints how many nodes have a release until all have it or wait is over.
func (c *client) awaitRelease(w io.Writer, number uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	printed := -1
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
		if have != printed && !c.isJSON() {
			fmt.Fprintf(w, "%d of %d nodes have release %d\n", have, len(s.Nodes), number)
			printed = have
		}
		if have == len(s.Nodes) {
			return nil
		}
		if time.Now().After(deadline) {
			return merry.Errorf("release %d is accepted, but only %d of %d nodes have it after %s", number, have, len(s.Nodes), wait)
		}
		time.Sleep(statusInterval)
	}
}
