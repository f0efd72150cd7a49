package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// program and its arguments are the command of the deploy file.
	program = "target/lacewingdrift"
	// callerPort, readyPort and firstPort are the same at all nodes, as on the users' machines.
	callerPort, readyPort, controlPort, firstPort = 8625, 8621, 8628, 7740
)

// Bounds of a small deployment, as in its settings.
const (
	drainTime    = 2 * time.Second
	gracePeriod  = 8 * time.Second
	contactTime  = 3 * time.Second
	startTimeout = 15 * time.Second
)

// node is one process of lacewingdrift on a machine of its own, which is a loopback address.
type node struct {
	name, ip, zone string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
	exited         chan struct{}
}

func (n *node) callerAddress() string { return net.JoinHostPort(n.ip, fmt.Sprint(callerPort)) }

// start starts the process with the words of the deploy file and the variables that the platform sets.
func (n *node) start() error {
	n.cmd = exec.Command(program, "serve", "--platform")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "LACEWINGDRIFT_NODE_FILE=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	// The process ends with this one.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() {
		defer close(n.exited)
		_ = n.cmd.Wait()
	}()
	return nil
}

// end kills the process if it still runs.
func (n *node) end() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	select {
	case <-n.exited:
		return
	default:
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + net.JoinHostPort(n.ip, fmt.Sprint(readyPort)) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeSettings writes the settings file of a node with the figures of a small deployment.
func (n *node) writeSettings(dir, storeAddress string, seeds []string) error {
	n.settings = filepath.Join(dir, n.name+".yaml")
	var b strings.Builder
	fmt.Fprintf(&b, `nodeName: %q
role: "node"
machineClass: "edge"
serves:
  - "edge"
ip: %q
zone: %q
region: "santiago"
zones:
  maipo: "santiago"
  mapocho: "santiago"
  quilicura: "santiago"
listen:
  frontend: "%s:%d"
  ready: "%s:%d"
  controlPlane: "%s:%d"
portRange:
  - %d
  - %d
seeds:
`, n.name, n.ip, n.zone, n.ip, callerPort, n.ip, readyPort, n.ip, controlPort, firstPort, firstPort+15)
	for _, ip := range seeds {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", ip, controlPort)
	}
	fmt.Fprintf(&b, `bootstrap: true
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
heartbeatMs: 1200
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  backMs: 250
  outerMs: 5000
  failClosed: false
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetExtra: 52
  coldOverrun: 1.5
  coldSlack: 5
  evacuateMs: 5000
  recoveryS: 12
platform:
  address: %q
  form: "objects"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
`, storeAddress)
	return os.WriteFile(n.settings, []byte(b.String()), 0o600)
}
