package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/operatorapi"
)

func getCommand() *cobra.Command {
	var cl client
	c := &cobra.Command{
		Use:     "get KIND NAME",
		Short:   "Print an object with its version and last change",
		Example: "  lacewingdrift get pool letters",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			o, err := cl.get(args[0], args[1])
			if err != nil {
				return err
			}
			return cl.print(c.OutOrStdout(), o, func(w io.Writer) { printObject(w, o) })
		},
	}
	return cl.flags(c)
}

func printObject(w io.Writer, o edit.Object) {
	fmt.Fprintf(w, "%s %s version %d, changed by %s at %s\n%s\n", o.Kind, o.Name, o.Version, o.Change.Operator, o.Change.Time.Format("2006-01-02 15:04:05"), o.Value)
}

func listCommand() *cobra.Command {
	var cl client
	c := &cobra.Command{
		Use:     "list KIND",
		Short:   "List the objects of a kind",
		Example: "  lacewingdrift list team",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var list []edit.Object
			if err := cl.call(http.MethodGet, "/v1/objects/"+url.PathEscape(args[0]), nil, &list); err != nil {
				return err
			}
			return cl.print(c.OutOrStdout(), list, func(w io.Writer) {
				for _, o := range list {
					fmt.Fprintf(w, "%-30s version %-8d %s\n", o.Name, o.Version, o.Change.Operator)
				}
			})
		},
	}
	return cl.flags(c)
}

const editUsage = `Edit writes one object from a JSON file, based on the version that was read with
get. If another operator has changed the object since, the edit is refused and shows
the other change and who made it; nothing is lost. --version 0 creates a new object.`

func editCommand() *cobra.Command {
	var cl client
	var file, reason string
	var version uint64
	c := &cobra.Command{
		Use:     "edit KIND NAME --file FILE --version N",
		Short:   "Replace one object by conditional update",
		Long:    editUsage,
		Example: "  lacewingdrift edit team families --file team.json --version 17 --reason 'summer'",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			value, err := os.ReadFile(file)
			if err != nil {
				return merry.Prepend(err, "read value")
			}
			if !json.Valid(value) {
				return merry.Errorf("%s: is not valid JSON", file)
			}
			o, err := cl.put(args[0], args[1], operatorapi.PutRequest{Version: object.Version(version), Value: value, Reason: reason})
			if err != nil {
				return err
			}
			return cl.print(c.OutOrStdout(), o, func(w io.Writer) { printObject(w, o) })
		},
	}
	c.Flags().StringVar(&file, "file", "", "file with the object's value as JSON")
	c.Flags().StringVar(&reason, "reason", "", "reason for the change, for the audit trail")
	c.Flags().Uint64Var(&version, "version", 0, "version on which the edit is based")
	_ = c.MarkFlagRequired("file")
	return cl.flags(c)
}

func removeCommand() *cobra.Command {
	var cl client
	var reason string
	var version uint64
	c := &cobra.Command{
		Use:     "remove KIND NAME --version N",
		Short:   "Remove an object that no other object uses",
		Example: "  lacewingdrift remove team old-team --version 17 --reason 'closed'",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			query := url.Values{"version": {fmt.Sprint(version)}, "reason": {reason}}
			var none struct{}
			if err := cl.call(http.MethodDelete, objectPath(args[0], args[1])+"?"+query.Encode(), nil, &none); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s %s removed\n", args[0], args[1])
			return nil
		},
	}
	c.Flags().StringVar(&reason, "reason", "", "reason for the change, for the audit trail")
	c.Flags().Uint64Var(&version, "version", 0, "version to remove")
	return cl.flags(c)
}
