package faultmatrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

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

// names are the nodes; each is in a data centre of its own.
var names = []string{"a-1", "b-1", "c-1"}

// machine is one process, reached through gates.
type machine struct {
	name  string
	cmd   *exec.Cmd
	serve string
	// peer is the gate before a node's peer side, target the one before a target.
	gate *faultproxy.Proxy
	// platform is the gate between a node and the platform.
	platform *faultproxy.Proxy
	ended    chan struct{}
}

func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// fleet is a small deployment of real processes.
type fleet struct {
	dir      string
	platform *machine
	// mu guards nodes, since a node that was killed comes back while callers look it up.
	mu      sync.Mutex
	nodes   map[string]*machine
	targets map[string]*machine
	store   object.Store
	set     release.Set
}

var (
	product = "lacewingdrift"
	helper  = "standin"
)

// build makes the programs once for all cells.
func build(dir string) error {
	out, err := exec.Command("go", "build", "-o", dir, "../../../cmd/...").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	product, helper = filepath.Join(dir, "lacewingdrift"), filepath.Join(dir, "standin")
	return nil
}

// firstPort is below the ports that the system gives to outgoing connections, so that none of them is in the way.
const firstPort = 20000

var (
	portMu   sync.Mutex
	nextPort = firstPort
)

// port gives an address that no other cell is given.
func port() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

func run(name, log, program string, args ...string) (*machine, error) {
	out, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	m := &machine{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = m.cmd.Wait()
		close(m.ended)
	}()
	return m, nil
}

func (f *fleet) log(name string) string { return filepath.Join(f.dir, name+".log") }

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{dir: t.TempDir(), nodes: map[string]*machine{}, targets: map[string]*machine{}}
	t.Cleanup(f.stop)
	address := port()
	var err error
	if f.platform, err = run("platform", f.log("platform"), helper, "platform", "--address", address); err != nil {
		t.Fatal(err)
	}
	f.platform.serve = address
	f.store = process.NewHTTPPlatform(settings.Platform{URL: "http://" + address, Timeout: duration.Duration(2 * time.Second)})
	for _, target := range []string{"pay-1", "pay-2", "write-1", "write-2"} {
		if err := f.startTarget(target); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range names {
		if err := f.startNode(n); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.publish(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "readiness", func() bool { return f.ready() })
	return f
}

func (f *fleet) startTarget(name string) error {
	address := port()
	kind := "service"
	if strings.HasPrefix(name, "write") {
		kind = "engine"
	}
	m, err := run(name, f.log(name), helper, kind, "--name", name, "--address", address, "--cold", "2", "--warm", "2", "--limit", "4", "--service", "60ms", "--restart", "300ms")
	if err != nil {
		return err
	}
	m.serve = address
	if m.gate, err = faultproxy.New(address); err != nil {
		return err
	}
	f.targets[name] = m
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
		if old, err = f.place(name); err != nil {
			return err
		}
	}
	m, err := run(name, f.log(name), product, "serve", "--settings", f.settings(name))
	if err != nil {
		return err
	}
	// A node that starts again has the addresses of the process before it, as a replaced VM may.
	m.serve, m.gate, m.platform = old.serve, old.gate, old.platform
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = m
	return nil
}

func (f *fleet) settings(name string) string { return filepath.Join(f.dir, name+".toml") }

// place gives a node its addresses and writes its settings.
func (f *fleet) place(name string) (*machine, error) {
	caller, peer := port(), port()
	g, err := faultproxy.New(peer)
	if err != nil {
		return nil, err
	}
	p, err := faultproxy.New(f.platform.serve)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(nodeSettings, name, name[:1], caller, peer, g.Address(), p.Address())
	return &machine{serve: caller, gate: g, platform: p}, os.WriteFile(f.settings(name), []byte(text), 0o600)
}

// node gives the process that runs under a node's name now.
func (f *fleet) node(name string) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *fleet) objects() release.Set {
	s := release.NewSet()
	for _, d := range []string{"a", "b", "c"} {
		s.Add(datacentre.Datacentre{Name: d}.WithDefaults())
	}
	for _, p := range []pool.Pool{{Name: "pay"}, {Name: "write", Type: pool.Engine}} {
		p.ColdLimit, p.WarmupSuccesses, p.Limit = 2, 2, 4
		for i, d := range []string{"a", "b"} {
			name := fmt.Sprintf("%s-%d", p.Name, i+1)
			p.Targets = append(p.Targets, pool.Target{Name: name, Address: f.targets[name].gate.Address(), Datacentre: d})
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
	f.set = f.objects()
	editor := process.NewEditor(f.store)
	ctx := context.Background()
	for _, o := range f.set.Objects() {
		if err := retry(func() error {
			there, _ := editor.Get(ctx, o.Kind, o.Name)
			_, err := editor.Put(ctx, edit.Edit{Kind: o.Kind, Name: o.Name, Version: there.Version, Value: o.Value, Operator: "test"})
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
	for _, m := range f.nodes {
		resp, err := http.Get("http://" + m.serve + "/readyz")
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

func (f *fleet) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("%s has not come about", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) stop() {
	for _, m := range f.nodes {
		m.signal(syscall.SIGCONT)
		m.kill()
		m.gate.Close()
		m.platform.Close()
	}
	for _, m := range f.targets {
		m.kill()
		m.gate.Close()
	}
	if f.platform != nil {
		f.platform.kill()
	}
}

// put sends a fault to a stand-in.
func put(address, path string, body any) {
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

func (f *fleet) platformFaults(x store.Faults) { put(f.platform.serve, "/standin/faults", x) }

func (f *fleet) targetFaults(x engine.Faults) {
	for _, m := range f.targets {
		put(m.serve, "/standin/faults", x)
	}
}

// truth sums up what the targets of a pool ran.
func (f *fleet) truth(poolName string) engine.Counts {
	sum := engine.Counts{Orders: map[string]int{}, Attempts: map[string]int{}}
	for name, m := range f.targets {
		if !strings.HasPrefix(name, poolName) {
			continue
		}
		resp, err := http.Get("http://" + m.serve + "/standin/counts")
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
