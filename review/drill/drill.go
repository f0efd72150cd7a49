package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	nodeBinary   = "target/lacewingdrift"
	frontendPort = "8625"
	readyPort    = "8621"
	metricsPort  = "9464"
	firstPort    = 7740
	lastPort     = 7755
	enginePort   = "8080"
	// startTimeout bounds the start of a node or an engine.
	startTimeout = 20 * time.Second
	// heartbeat is the heartbeatMs of the settings.
	heartbeat = 1200 * time.Millisecond
	// drainTime, configApply and contact are drainMs, configApplyMs and contactMs.
	drainTime   = 2 * time.Second
	configApply = 2 * time.Second
	contact     = 3 * time.Second
)

// process is a process that the drill started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// signal sends a signal to the process, which may have ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// drill is one play of a case.
type drill struct {
	// trouble is set unless the environment has TROUBLE=0.
	trouble bool
	// prefix begins the loopback addresses of this play.
	prefix  string
	tmp     string
	started time.Time
	store   *store

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*process
	engines   map[string]*engine
	// tenants has the tenant that an engine was given each time that one began to work on a request, by the request's ID.
	tenants map[string][]string
}

func newDrill(folder string) (*drill, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	d := &drill{
		trouble: os.Getenv("TROUBLE") != "0", tmp: tmp, started: time.Now(), record: bufio.NewWriter(f), file: f,
		engines: map[string]*engine{}, tenants: map[string][]string{},
	}
	if d.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	if d.store, err = startStore(d.prefix + "2:8624"); err != nil {
		return nil, err
	}
	return d, nil
}

// freePrefix returns the first three numbers of loopback addresses that nothing listens on.
func freePrefix() (string, error) {
	var err error
	for range 20 {
		prefix := fmt.Sprintf("127.%d.%d.", 60+rand.IntN(60), rand.IntN(250))
		var l net.Listener
		if l, err = net.Listen("tcp", prefix+"2:8624"); err == nil {
			return prefix, l.Close()
		}
	}
	return "", err
}

// note writes a line to the record.
func (d *drill) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and closes the record.
func (d *drill) close() {
	d.mu.Lock()
	list := d.processes
	d.mu.Unlock()
	for _, p := range list {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range list {
		<-p.ended
	}
	d.store.close()
	_ = os.RemoveAll(d.tmp)
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.record.Flush()
	_ = d.file.Close()
}

// start starts a process whose output lines go to onLine.
func (d *drill) start(name string, env []string, onLine func(string), command ...string) (*process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		_, _ = io.Copy(io.Discard, out)
		// The state tells more than the error.
		_ = cmd.Wait()
		d.note("%s ended: %v", name, cmd.ProcessState)
		close(p.ended)
	}()
	return p, nil
}

// node is a node of the system.
type node struct {
	*process
	name, settings   string
	frontend, status string
}

var zones = []string{"maipo", "mapocho", "quilicura"}

// startNodes starts n nodes with the command of the deploy file, and waits until all of them are ready.
func (d *drill) startNodes(n int) ([]*node, error) {
	var list []*node
	for i := range n {
		x, err := d.startNode(i, n)
		if err != nil {
			return nil, err
		}
		list = append(list, x)
	}
	for _, x := range list {
		if err := d.awaitReady(x); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (d *drill) startNode(i, n int) (*node, error) {
	ip := fmt.Sprintf("%s%d", d.prefix, 10+i)
	var seeds []string
	for k := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("  - \"%s%d:8628\"\n", d.prefix, 10+k))
	}
	x := &node{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), frontend: ip + ":" + frontendPort, status: ip + ":" + readyPort}
	x.settings = filepath.Join(d.tmp, x.name+".yaml")
	text := fmt.Sprintf(settingsText, x.name, ip, zones[i%len(zones)], x.frontend, x.status, firstPort, lastPort, strings.Join(seeds, ""), d.store.address)
	if err := os.WriteFile(x.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.tmp, x.name+".log"))
	if err != nil {
		return nil, err
	}
	x.process, err = d.start(x.name, []string{"LACEWINGDRIFT_NODE_FILE=" + x.settings}, func(line string) { fmt.Fprintln(log, line) }, nodeBinary, "serve", "--platform")
	if err == nil {
		d.note("%s started at %s", x.name, x.frontend)
	}
	return x, err
}

// awaitReady asks a node for its readiness, as the platform does.
func (d *drill) awaitReady(x *node) error {
	for by := time.Now().Add(startTimeout); time.Now().Before(by); time.Sleep(50 * time.Millisecond) {
		c, err := dial(x.status)
		if err != nil {
			continue
		}
		a := c.exchange(request{method: "GET", path: "/readyz", host: x.status, within: time.Second})
		c.close()
		if a.status == 200 {
			d.note("%s is ready", x.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", x.name)
}

// settingsText is that of a small deployment.
const settingsText = `nodeName: "%s"
role: "node"
machineClass: "edge"
serves:
  - "edge"
ip: "%s"
zone: "%s"
region: "santiago"
zones:
  maipo: "santiago"
  mapocho: "santiago"
  quilicura: "santiago"
listen:
  frontend: "%s"
  ready: "%s"
portRange:
  - %d
  - %d
seeds:
%sbootstrap: true
faultCounted: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
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
  lateAfterMs: 120
  reuseWindowS: 10
platform:
  address: "%s"
  form: "objects"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
`
