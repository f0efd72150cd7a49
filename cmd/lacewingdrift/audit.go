package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/audit"
)

const auditUsage = `Audit prints who changed what, when and why, in order of time. Refused actions are
printed too.`

func auditCommand() *cobra.Command {
	var cl client
	var since time.Duration
	var object, operator string
	c := &cobra.Command{
		Use:     "audit",
		Short:   "Print the audit trail",
		Long:    auditUsage,
		Example: "  lacewingdrift audit --since 24h --object pool/letters --who rosa",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			query := url.Values{"object": {object}, "who": {operator}}
			if since > 0 {
				query.Set("since", time.Now().Add(-since).UTC().Format(time.RFC3339))
			}
			var list []audit.Record
			if err := cl.call(http.MethodGet, "/v1/audit?"+query.Encode(), nil, &list); err != nil {
				return err
			}
			return cl.print(c.OutOrStdout(), list, func(w io.Writer) { printAudit(w, list) })
		},
	}
	c.Flags().DurationVar(&since, "since", 0, "how far back, for example 24h; 0 means all")
	c.Flags().StringVar(&object, "object", "", "part of KIND/NAME")
	c.Flags().StringVar(&operator, "who", "", "name of the operator")
	return cl.flags(c)
}

func printAudit(w io.Writer, list []audit.Record) {
	for _, r := range list {
		note := r.Reason
		if r.Forced {
			note += " [forced]"
		}
		if r.Refused != "" {
			note += " [refused: " + r.Refused + "]"
		}
		fmt.Fprintf(w, "%s %-12s %-8s %-30s %s\n", r.Time.Format("2006-01-02 15:04:05.000"), r.Operator, r.Action, r.Object, note)
	}
}
