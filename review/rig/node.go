package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the node's program, as the deploy file builds it and runs it.
var program = []string{"target/lacewingdrift", "serve", "--platform"}

// Ports of a node; each node has a loopback address of its own.
const (
	frontPort = 8625
	readyPort = 8621
	innerPort = 7740
)

// bounds are the figures of the settings that the cases change; the others are those of the sheets.
type bounds struct {
	drainMS, configMS, graceS int
	retryRatio, retryExtra    float64
}

// smallBounds are the bounds on the sheets of the small deployments.
var smallBounds = bounds{drainMS: 2000, configMS: 2000, graceS: 8, retryRatio: 0.2, retryExtra: 52}

// node is a node of the system, a process of its own.
type node struct {
	name, zone, ip string
	linkMbps       float64
	store          string
	zones          []string
	bounds         bounds
	dir            string

	cmd   *exec.Cmd
	ended chan struct{}
	log   *os.File
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

// settings returns the settings file.
func (n *node) settings() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("nodeName: %q\nrole: \"node\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\nip: %q\nzone: %q\nregion: \"r\"\nzones:", n.name, n.ip, n.zone)
	for _, z := range n.zones {
		line("  %s: \"r\"", z)
	}
	line("listen:\n  frontend: %q\n  ready: \"%s:%d\"", n.front(), n.ip, readyPort)
	line("portRange:\n  - %d\n  - %d\nseeds: []\nbootstrap: true\nfaultCounted: false", innerPort, innerPort+15)
	line("limits:\n  cpuShare: 0.4\n  cores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: %.1f\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200", n.linkMbps)
	line("contracts:")
	for _, c := range []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"} {
		line("  - %q", c)
	}
	line("faultTolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 3000\n  ackMs: 4000\n  catchUpS: 4")
	line("  drainMs: %d\n  graceS: %d\n  lossSlackMs: 200\n  configApplyMs: %d\n  backMs: 250\n  outerMs: 5000\n  failClosed: false\n  revokeMs: 5000", n.bounds.drainMS, n.bounds.graceS, n.bounds.configMS)
	line("  retryBudgetRatio: %v\n  budgetWindowS: 10\n  retryBudgetExtra: %v\n  coldOverrun: 1.5\n  coldSlack: 5\n  evacuateMs: 5000\n  recoveryS: 12\n  lateAfterMs: 120\n  reuseWindowS: 10", n.bounds.retryRatio, n.bounds.retryExtra)
	line("platform:\n  address: %q\n  form: \"objects\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000", n.store)
	return b.String()
}

// start starts the node's process.
func (n *node) start() error {
	file := filepath.Join(n.dir, n.name+".yaml")
	if err := os.WriteFile(file, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.cmd = exec.Command(program[0], program[1:]...)
	n.cmd.Env = append(os.Environ(), "LACEWINGDRIFT_NODE_FILE="+file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), n.cmd
	n.ended = ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// stop ends the node at once.
func (n *node) stop() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// isReady reports whether the node answers the platform's question with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a node did not get ready")

// awaitReady waits until nodes are ready.
func awaitReady(nodes []*node, most time.Duration) error {
	end := time.Now().Add(most)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s", errNotReady, n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
