package experiment

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/testbed"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/standin/store"
)

const (
	evacuationTime = 3 * time.Second
	crashedTime    = 3 * time.Second
)

// objectSet holds a testbed's objects, which may change while others read them.
type objectSet struct {
	testbed *testbed.Testbed
	mu      sync.Mutex
	set     release.Set
}

func newObjectSet(b *testbed.Testbed) *objectSet { return &objectSet{testbed: b, set: b.Set} }

// Set returns the current objects.
func (o *objectSet) Set() release.Set {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.set
}

// setState publishes a new state of a data centre.
func (o *objectSet) setState(name string, s datacentre.State) {
	o.mu.Lock()
	next := o.set
	next.Datacentres = map[string]datacentre.Datacentre{}
	for k, dc := range o.set.Datacentres {
		if k == name {
			dc = dc.WithState(s)
		}
		next.Datacentres[k] = dc
	}
	o.set = next
	o.mu.Unlock()
	o.testbed.Set.Datacentres = next.Datacentres
	_, _ = o.testbed.PublishWith(context.Background(), publication.Options{Operator: "bench"})
}

// evacuateAndRestore takes a data centre out of service, stops its nodes and targets, starts them again and puts the data
// centre back in service.
func evacuateAndRestore(b *testbed.Testbed, o *objectSet, length time.Duration) {
	const name = "maipo"
	datacentreName := name
	if _, ok := b.Set.Datacentres[name]; !ok {
		datacentreName = "lisboa-a"
	}
	time.Sleep(length / 4)
	o.setState(datacentreName, datacentre.OutOfService)
	time.Sleep(evacuationTime)
	var nodes sync.WaitGroup
	var names []string
	for _, n := range b.NodeNames() {
		if strings.HasPrefix(n, datacentreName+"-") {
			names = append(names, n)
			nodes.Go(func() { b.StopNode(context.Background(), n) })
		}
	}
	nodes.Wait()
	engines := b.TargetsIn(datacentreName)
	for _, e := range engines {
		e.Stop()
	}
	time.Sleep(length / 4)
	for _, e := range engines {
		_ = e.Start()
	}
	for _, n := range names {
		_ = b.StartNode(n)
	}
	time.Sleep(evacuationTime)
	o.setState(datacentreName, datacentre.InService)
}

// crashTargets crashes a quarter of each pool's targets, rounded down; they restart cold.
func crashTargets(b *testbed.Testbed, _ *objectSet, length time.Duration) {
	time.Sleep(length / 3)
	for name := range b.Set.Pools {
		engines := b.Targets(name)
		for i := range len(engines) / 4 {
			e := engines[i]
			e.Stop()
			time.AfterFunc(crashedTime, func() { _ = e.Start() })
		}
	}
}

// stopPlatform makes the platform unavailable for the middle third of the run.
func stopPlatform(b *testbed.Testbed, _ *objectSet, length time.Duration) {
	time.Sleep(length / 3)
	b.Store.SetFaults(store.Faults{Down: true})
	time.Sleep(length / 3)
	b.Store.SetFaults(store.Faults{})
}

func sortCosts(list []StageCost) {
	sort.Slice(list, func(i, j int) bool { return list[i].Stage < list[j].Stage })
}
