// Command standin plays the cases of the review: it starts nodes of lacewingdrift as processes, with stand-ins of the platform, the
// servers and the clients around them, and tells by its exit code whether a rule was kept.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitKept   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; each returns whether the rule was kept.
var cases = map[string]func(*bed) (kept bool, err error){
	"stop":  playStop,
	"leave": playLeave,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer rec.close()
	b, err := newBed(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("case could not run: %v", err)
		return exitNotRun
	}
	defer b.close()
	kept, err := cases[args[0]](b)
	switch {
	case err != nil:
		rec.add("case could not run: %v", err)
		return exitNotRun
	case !kept:
		rec.add("result: rule broken")
		return exitBroken
	default:
		rec.add("result: rule kept")
		return exitKept
	}
}
