package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/informer"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	relaysPerDatacentre = 2
	vmPollInterval      = time.Second
)

// isRelay reports whether this node reads the platform for its data centre.
func (n *Node) isRelay() bool {
	t := n.table.Load()
	live := t.LiveIn(n.cfg.Settings.Datacentre)
	ranked := rendezvous.Rank("relay/"+n.cfg.Settings.Datacentre, live)
	return len(live) == 0 || contains(ranked[:min(relaysPerDatacentre, len(ranked))], n.Name())
}

// relayLoop reads the platform for as long as the node is a relay.
func (n *Node) relayLoop(ctx context.Context) {
	heartbeat := n.cfg.Settings.Timing.Heartbeat.Duration()
	for ctx.Err() == nil {
		if n.isRelay() {
			n.runInformers(ctx)
		}
		sleep(ctx, heartbeat)
	}
}

// runInformers runs the informers until the node is no longer a relay.
func (n *Node) runInformers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	defer loops.Wait()
	for _, i := range []*informer.Informer{n.headInformer(ctx), n.memberInformer()} {
		loops.Go(func() { i.Run(ctx) })
	}
	loops.Go(func() { runEvery(ctx, vmPollInterval, n.pollVMs) })
	for ctx.Err() == nil && n.isRelay() {
		sleep(ctx, n.cfg.Settings.Timing.Heartbeat.Duration())
	}
	cancel()
}

func (n *Node) newRand(kind string) *rand.Rand {
	return rand.New(rand.NewPCG(n.cfg.Seed, uint64(len(kind))+uint64(n.randIntN(1<<30))))
}

func (n *Node) headInformer(ctx context.Context) *informer.Informer {
	// pending holds a head that was received and whose release could not be fetched yet.
	var pending []byte
	apply := func(value []byte) {
		pending = value
		if err := n.applyHead(ctx, value); err != nil {
			n.log.Warn("fetching the release failed", err)
			return
		}
		pending = nil
	}
	return informer.New(informer.Config{
		Store: n.cfg.Platform,
		Kind:  release.HeadKind,
		Rand:  n.newRand(release.HeadKind),
		OnContact: func() {
			if pending != nil {
				apply(pending)
				return
			}
			n.contacts.recordPlatform(n.cfg.Now())
		},
		Replace: func(l object.List) {
			for _, o := range l.Items {
				if release.IsHeadName(o.Name) {
					apply(o.Value)
				}
			}
		},
		Apply: func(e object.Event) {
			if e.Type == object.Put && release.IsHeadName(e.Object.Name) {
				apply(e.Object.Value)
			}
		},
		OnError: func(err error) { n.log.Debug("watch of heads ended: " + err.Error()) },
	})
}

func (n *Node) memberInformer() *informer.Informer {
	merge := func(items ...object.Object) {
		var rows []member.Member
		for _, o := range items {
			var m member.Member
			if json.Unmarshal(o.Value, &m) == nil && m.Name == o.Name {
				rows = append(rows, m)
			}
		}
		n.mergeMembers(rows)
	}
	return informer.New(informer.Config{
		Store:     n.cfg.Platform,
		Kind:      member.Kind,
		Rand:      n.newRand(member.Kind),
		OnContact: func() {},
		Replace:   func(l object.List) { merge(l.Items...) },
		Apply: func(e object.Event) {
			if e.Type == object.Put {
				merge(e.Object)
			}
		},
		OnError: func(err error) { n.log.Debug("watch of members ended: " + err.Error()) },
	})
}

func (n *Node) pollVMs(ctx context.Context) {
	l, err := n.cfg.Platform.VMs(ctx)
	if err != nil {
		return
	}
	n.setLeavingVMs(l.LeavingSet())
}
