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
	vmsEvery            = time.Second
)

// relays tells whether this node follows the platform for its data centre.
func (n *Node) relays() bool {
	t := n.table.Load()
	live := t.LiveIn(n.cfg.Settings.Datacentre)
	ranked := rendezvous.Rank("relay/"+n.cfg.Settings.Datacentre, live)
	return len(live) == 0 || contains(ranked[:min(relaysPerDatacentre, len(ranked))], n.Name())
}

// relayLoop follows the platform for as long as the node is a relay.
func (n *Node) relayLoop(ctx context.Context) {
	beat := n.cfg.Settings.Timing.Heartbeat.Duration()
	for ctx.Err() == nil {
		if n.relays() {
			n.follow(ctx)
		}
		pause(ctx, beat)
	}
}

// follow runs the informers until the node is no relay any more.
func (n *Node) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	defer loops.Wait()
	for _, i := range []*informer.Informer{n.headInformer(ctx), n.memberInformer()} {
		loops.Go(func() { i.Run(ctx) })
	}
	loops.Go(func() { every(ctx, vmsEvery, n.pollVMs) })
	for ctx.Err() == nil && n.relays() {
		pause(ctx, n.cfg.Settings.Timing.Heartbeat.Duration())
	}
	cancel()
}

func (n *Node) source(kind string) *rand.Rand {
	return rand.New(rand.NewPCG(n.cfg.Seed, uint64(len(kind))+uint64(n.pick(1<<30))))
}

func (n *Node) headInformer(ctx context.Context) *informer.Informer {
	// pending is set while a head was heard of and could not be fetched.
	var pending []byte
	take := func(value []byte) {
		pending = value
		if err := n.takeHead(ctx, value); err != nil {
			n.log.Warn("release cannot be fetched", err)
			return
		}
		pending = nil
	}
	return informer.New(informer.Config{
		Store: n.cfg.Platform,
		Kind:  release.HeadKind,
		Rand:  n.source(release.HeadKind),
		OnContact: func() {
			if pending != nil {
				take(pending)
				return
			}
			n.hearing.fresh(n.cfg.Now())
		},
		Replace: func(l object.List) {
			for _, o := range l.Items {
				if o.Name == release.HeadName {
					take(o.Value)
				}
			}
		},
		Apply: func(e object.Event) {
			if e.Type == object.Put && e.Object.Name == release.HeadName {
				take(e.Object.Value)
			}
		},
		OnError: func(err error) { n.log.Debug("watch of heads ended: " + err.Error()) },
	})
}

func (n *Node) memberInformer() *informer.Informer {
	learn := func(items ...object.Object) {
		var rows []member.Member
		for _, o := range items {
			var m member.Member
			if json.Unmarshal(o.Value, &m) == nil && m.Name == o.Name {
				rows = append(rows, m)
			}
		}
		n.learnMembers(rows)
	}
	return informer.New(informer.Config{
		Store:     n.cfg.Platform,
		Kind:      member.Kind,
		Rand:      n.source(member.Kind),
		OnContact: func() {},
		Replace:   func(l object.List) { learn(l.Items...) },
		Apply: func(e object.Event) {
			if e.Type == object.Put {
				learn(e.Object)
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
	n.learnLeavers(l.LeavingSet())
}
