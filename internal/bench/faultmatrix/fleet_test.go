package faultmatrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/loopback"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/duration"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pipeline"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/process"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/engine"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/faultproxy"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

// nodeNames are the nodes, each in a data centre of its own.
var nodeNames = []string{"a-1", "b-1", "c-1"}

// instance is one process, reached through fault proxies.
type instance struct {
	name    string
	cmd     *exec.Cmd
	address string
	// proxy is before a node's peer address, or before a target.
	proxy *faultproxy.Proxy
	// platformProxy is between a node and the platform.
	platformProxy *faultproxy.Proxy
	exited        chan struct{}
}

func (inst *instance) signal(s syscall.Signal) { _ = inst.cmd.Process.Signal(s) }

func (inst *instance) kill() {
	inst.signal(syscall.SIGKILL)
	<-inst.exited
}

// fleet is a small deployment of real processes.
type fleet struct {
	dir      string
	platform *instance
	// mu guards nodes, since a killed node restarts while callers look it up.
	mu      sync.Mutex
	nodes   map[string]*instance
	targets map[string]*instance
	store   object.Store
	set     release.Set
}

var (
	nodeProgram    = "lacewingdrift"
	standinProgram = "standin"
)

// build builds the programs once for all cells.
func build(dir string) error {
	out, err := exec.Command("go", "build", "-o", dir, "../../../cmd/...").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	nodeProgram, standinProgram = filepath.Join(dir, "lacewingdrift"), filepath.Join(dir, "standin")
	return nil
}

func startProcess(name, log, program string, args ...string) (*instance, error) {
	out, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	inst := &instance{name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	inst.cmd.Stdout, inst.cmd.Stderr = out, out
	if err := inst.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = inst.cmd.Wait()
		close(inst.exited)
	}()
	return inst, nil
}

func (f *fleet) logPath(name string) string { return filepath.Join(f.dir, name+".log") }

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{dir: t.TempDir(), nodes: map[string]*instance{}, targets: map[string]*instance{}}
	t.Cleanup(f.stop)
	address := loopback.Address()
	var err error
	if f.platform, err = startProcess("platform", f.logPath("platform"), standinProgram, "platform", "--address", address); err != nil {
		t.Fatal(err)
	}
	f.platform.address = address
	f.store = process.NewHTTPPlatform(settings.Platform{URL: "http://" + address, Timeout: duration.Duration(2 * time.Second)})
	for _, target := range []string{"pay-1", "pay-2", "write-1", "write-2"} {
		if err := f.startTarget(target); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range nodeNames {
		if err := f.startNode(n); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.publish(); err != nil {
		t.Fatal(err)
	}
	f.waitFor(t, "readiness", func() bool { return f.ready() })
	return f
}

func (f *fleet) startTarget(name string) error {
	address := loopback.Address()
	kind := "service"
	if strings.HasPrefix(name, "write") {
		kind = "engine"
	}
	inst, err := startProcess(name, f.logPath(name), standinProgram, kind, "--name", name, "--address", address, "--cold", "2", "--warm", "2", "--limit", "4", "--service", "60ms", "--restart", "300ms")
	if err != nil {
		return err
	}
	inst.address = address
	if inst.proxy, err = faultproxy.New(address); err != nil {
		return err
	}
	f.targets[name] = inst
	return nil
}

const nodeSettings = `name = %q
datacentre = %q
[caller]
address = %q
[peer]
address = %q
advertise = %q
[platform]
url = "http://%s"
timeout = "1s"
[timing]
beat = "100ms"
lease = "2s"
renew = "500ms"
bound = "1500ms"
lag = "200ms"
[log]
level = "debug"
`

func (f *fleet) startNode(name string) error {
	old := f.node(name)
	if old == nil {
		var err error
		if old, err = f.configureNode(name); err != nil {
			return err
		}
	}
	inst, err := startProcess(name, f.logPath(name), nodeProgram, "serve", "--settings", f.settingsPath(name))
	if err != nil {
		return err
	}
	// A restarted node has the addresses of its previous process, as a replaced VM may.
	inst.address, inst.proxy, inst.platformProxy = old.address, old.proxy, old.platformProxy
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = inst
	return nil
}

func (f *fleet) settingsPath(name string) string { return filepath.Join(f.dir, name+".toml") }

// configureNode allocates a node's addresses and writes its settings.
func (f *fleet) configureNode(name string) (*instance, error) {
	caller, peer := loopback.Address(), loopback.Address()
	peerProxy, err := faultproxy.New(peer)
	if err != nil {
		return nil, err
	}
	platformProxy, err := faultproxy.New(f.platform.address)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(nodeSettings, name, name[:1], caller, peer, peerProxy.Address(), platformProxy.Address())
	return &instance{address: caller, proxy: peerProxy, platformProxy: platformProxy}, os.WriteFile(f.settingsPath(name), []byte(text), 0o600)
}

// node returns the process that currently runs under a node's name.
func (f *fleet) node(name string) *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *fleet) newObjects() release.Set {
	s := release.NewSet()
	for _, d := range []string{"a", "b", "c"} {
		s.Add(datacentre.Datacentre{Name: d}.WithDefaults())
	}
	for _, p := range []pool.Pool{{Name: "pay"}, {Name: "write", Type: pool.Engine}} {
		p.ColdLimit, p.WarmupSuccesses, p.Limit = 2, 2, 4
		for i, d := range []string{"a", "b"} {
			name := fmt.Sprintf("%s-%d", p.Name, i+1)
			p.Targets = append(p.Targets, pool.Target{Name: name, Address: f.targets[name].proxy.Address(), Datacentre: d})
		}
		s.Add(p.WithDefaults())
	}
	s.Add(stage.Stage{Name: "pay", Pool: "pay", RetryPolicy: stage.RetryNever, Timeout: duration.Duration(2 * time.Second)}.WithDefaults())
	s.Add(stage.Stage{Name: "write", Pool: "write", Stream: true, Timeout: duration.Duration(3 * time.Second), IdleTimeout: duration.Duration(700 * time.Millisecond)}.WithDefaults())
	s.Add(pipeline.Pipeline{Name: "pay", Stages: []string{"pay"}, Deadline: duration.Duration(5 * time.Second)}.WithDefaults())
	s.Add(pipeline.Pipeline{Name: "write", Stages: []string{"write"}, Deadline: duration.Duration(6 * time.Second)}.WithDefaults())
	s.Add(team.Team{Name: "t"}.WithDefaults())
	return s
}

func (f *fleet) publish() error {
	f.set = f.newObjects()
	editor := process.NewEditor(f.store)
	ctx := context.Background()
	for _, o := range f.set.Objects() {
		if err := retry(func() error {
			current, _ := editor.Get(ctx, o.Kind, o.Name)
			_, err := editor.Put(ctx, edit.Edit{Kind: o.Kind, Name: o.Name, Version: current.Version, Value: o.Value, Operator: "test"})
			return err
		}); err != nil {
			return err
		}
	}
	p := publication.Publisher{Editor: editor, HighestNumber: func() uint64 { return 0 }}
	_, err := p.Publish(ctx, publication.Options{Operator: "test"})
	return err
}

func retry(f func() error) error {
	var err error
	for range 100 {
		if err = f(); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

func (f *fleet) ready() bool {
	for _, inst := range f.nodes {
		resp, err := http.Get("http://" + inst.address + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	l, err := f.store.List(context.Background(), "owner", "")
	return err == nil && len(l.Items) == len(f.targets)
}

func (f *fleet) waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met in time", condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) stop() {
	for _, inst := range f.nodes {
		inst.signal(syscall.SIGCONT)
		inst.kill()
		inst.proxy.Close()
		inst.platformProxy.Close()
	}
	for _, inst := range f.targets {
		inst.kill()
		inst.proxy.Close()
	}
	if f.platform != nil {
		f.platform.kill()
	}
}

// send sends faults to a stand-in with PUT or, if body is nil, a command with POST.
func send(address, path string, body any) {
	data, _ := json.Marshal(body)
	method := http.MethodPut
	if body == nil {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

func (f *fleet) setPlatformFaults(x store.Faults) { send(f.platform.address, "/standin/faults", x) }

func (f *fleet) setTargetFaults(x engine.Faults) {
	for _, inst := range f.targets {
		send(inst.address, "/standin/faults", x)
	}
}

// targetCounts sums the counts of a pool's targets.
func (f *fleet) targetCounts(poolName string) engine.Counts {
	sum := engine.Counts{Orders: map[string]int{}, Attempts: map[string]int{}}
	for name, inst := range f.targets {
		if !strings.HasPrefix(name, poolName) {
			continue
		}
		resp, err := http.Get("http://" + inst.address + "/standin/counts")
		if err != nil {
			continue
		}
		var c engine.Counts
		_ = json.NewDecoder(resp.Body).Decode(&c)
		resp.Body.Close()
		sum.Runs += c.Runs
		sum.OverLimit += c.OverLimit
		sum.ColdPeakConcurrency = max(sum.ColdPeakConcurrency, c.ColdPeakConcurrency)
		for k, v := range c.Orders {
			sum.Orders[k] += v
		}
		for k, v := range c.Attempts {
			sum.Attempts[k] += v
		}
	}
	return sum
}
