package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/trace"
)

const explainUsage = `Explain reads collected logs and prints the path of one request through all nodes in
order of time: the chosen targets, the batch calls of its pieces, the failures and
the outcome. Lines marked with + are not about the request itself but about changes
to what it used, from three seconds before the request.

ID is the request's own ID. Files may contain the lines of several nodes, and each
line may have a prefix; lines of nodes whose clocks differ may be out of order. Lines
that are not log lines are counted and skipped. The exit code is 1 if no line is
about the request.`

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Print the path of a request from collected logs",
		Long:    explainUsage,
		Example: "  lacewingdrift explain 9c41d07be2a35f68 logs/*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var sources []trace.Source
			for _, name := range args[1:] {
				sources = append(sources, trace.Source{Name: name, Open: func() (io.ReadCloser, error) { return os.Open(name) }})
			}
			t, err := trace.Read(args[0], sources)
			if n := len(t.Unreadable); n > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "%d lines are not log lines; the first is %s\n", n, t.Unreadable[0])
			}
			if errors.Is(err, trace.ErrNotFound) {
				return merry.Errorf("%s: no line in %d files is about this request; is the ID one of a caller's attempts, and do the files cover all nodes?", args[0], len(sources))
			}
			if err != nil {
				return err
			}
			printTrace(c.OutOrStdout(), t)
			return nil
		},
	}
}

func printTrace(w io.Writer, t trace.Trace) {
	for _, l := range t.Lines {
		mark := " "
		if l.Related {
			mark = "+"
		}
		fmt.Fprintf(w, "%s %s %-16s %s%s\n", l.Time.Format("15:04:05.000"), mark, l.Node, l.Message, fieldList(l.Fields))
	}
}

// fieldList formats the fields of a line, sorted by name, without the request's own ID; the requests of a batch call are
// only counted.
func fieldList(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for n := range fields {
		if n != "request" {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, n := range names {
		switch v := fields[n].(type) {
		case []any:
			if n == "requests" {
				fmt.Fprintf(&b, " requests=%d", len(v))
				continue
			}
			fmt.Fprintf(&b, " %s=%v", n, v)
		default:
			fmt.Fprintf(&b, " %s=%v", n, v)
		}
	}
	return b.String()
}
