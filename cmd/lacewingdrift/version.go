package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

const version = "0.1.0"

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  lacewingdrift version",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "lacewingdrift", version, goVersion())
		},
	}
}

func goVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.GoVersion
	}
	return "unknown"
}
