package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(*drill) (broken bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		fmt.Fprintln(os.Stderr, "engine:", runEngine(os.Args[2:]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER, from the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns its exit code.
func run(name, folder string) int {
	d, err := newDrill(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		return exitNotRun
	}
	defer d.close()
	d.endEarly()
	d.note("case %s, disruption %t", name, d.trouble)
	broken, err := cases[name](d)
	switch {
	case err != nil:
		d.note("could not run: %v", err)
		return exitNotRun
	case broken:
		d.note("verdict: the rule was broken")
		return exitBroken
	default:
		d.note("verdict: the rule held")
		return exitHeld
	}
}

// longest bounds a play.
const longest = 100 * time.Second

// endEarly ends the play and all its processes after a signal, or when it takes too long.
func (d *drill) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		d.note("could not run: ended early")
		d.close()
		os.Exit(exitNotRun)
	}()
}
