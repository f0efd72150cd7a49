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

const explainUsage = `Explain reads collected logs and prints the way of one request through all nodes in
the order of time: the targets that were chosen, the calls its pieces were in, what
failed, and its end. Lines marked with + are not about the request itself: they tell
of changes on the way, from three seconds before it.

ID is the request's own id. Files may hold the lines of several nodes, also with
something in front of each line; nodes whose clocks differ come out of order. Lines
that are no log lines are counted and passed over. The exit code is 1 if no line
tells of the request.`

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Print the way of a request from collected logs",
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
				fmt.Fprintf(c.ErrOrStderr(), "%d lines are no log lines, the first is %s\n", n, t.Unreadable[0])
			}
			if errors.Is(err, trace.ErrNotFound) {
				return merry.Errorf("%s: no line in %d files tells of this request; is the id a caller's attempt, and are the files those of all nodes?", args[0], len(sources))
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

// fieldList prints the fields of a line in the order of their names, the request's own id left out; the requests of a call
// are only counted.
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
