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
	clearTime = 3 * time.Second
	awayTime  = 3 * time.Second
)

// control changes a bed's objects while others read them.
type control struct {
	bed *testbed.Testbed
	mu  sync.Mutex
	set release.Set
}

func newControl(b *testbed.Testbed) *control { return &control{bed: b, set: b.Set} }

// Set gives the objects in force.
func (c *control) Set() release.Set {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set
}

// move publishes a data centre in another state.
func (c *control) move(name string, s datacentre.State) {
	c.mu.Lock()
	next := c.set
	next.Datacentres = map[string]datacentre.Datacentre{}
	for k, d := range c.set.Datacentres {
		if k == name {
			d = d.WithState(s)
		}
		next.Datacentres[k] = d
	}
	c.set = next
	c.mu.Unlock()
	c.bed.Set.Datacentres = next.Datacentres
	_, _ = c.bed.PublishWith(context.Background(), publication.Options{Operator: "bench"})
}

// leaveAndReturn takes a data centre out, turns its machines off, turns them on and brings it back.
func leaveAndReturn(b *testbed.Testbed, c *control, whole time.Duration) {
	const name = "maipo"
	where := name
	if _, ok := b.Set.Datacentres[name]; !ok {
		where = "lisboa-a"
	}
	time.Sleep(whole / 4)
	c.move(where, datacentre.OutOfService)
	time.Sleep(clearTime)
	var nodes sync.WaitGroup
	var names []string
	for _, n := range b.NodeNames() {
		if strings.HasPrefix(n, where+"-") {
			names = append(names, n)
			nodes.Go(func() { b.StopNode(context.Background(), n) })
		}
	}
	nodes.Wait()
	engines := b.TargetsIn(where)
	for _, e := range engines {
		e.Stop()
	}
	time.Sleep(whole / 4)
	for _, e := range engines {
		_ = e.Start()
	}
	for _, n := range names {
		_ = b.StartNode(n)
	}
	time.Sleep(clearTime)
	c.move(where, datacentre.InService)
}

// crashSome ends one target in four, of every pool with more than two; they come back cold.
func crashSome(b *testbed.Testbed, _ *control, whole time.Duration) {
	time.Sleep(whole / 3)
	for name := range b.Set.Pools {
		engines := b.Targets(name)
		for i := range len(engines) / 4 {
			e := engines[i]
			e.Stop()
			time.AfterFunc(awayTime, func() { _ = e.Start() })
		}
	}
}

// platformOut takes the platform down for the middle third.
func platformOut(b *testbed.Testbed, _ *control, whole time.Duration) {
	time.Sleep(whole / 3)
	b.Store.SetFaults(store.Faults{Down: true})
	time.Sleep(whole / 3)
	b.Store.SetFaults(store.Faults{})
}

func sortCost(list []StageCost) {
	sort.Slice(list, func(i, j int) bool { return list[i].Stage < list[j].Stage })
}
