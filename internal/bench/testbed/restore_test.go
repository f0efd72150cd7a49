package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/member"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/owner"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/rendezvous"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/publication"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/outcome"
	"github.com/lacewingdrift/lacewingdrift/internal/serving/request"
	"github.com/lacewingdrift/lacewingdrift/internal/wire/callerapi"
)

// owners returns the nodes that may send to each target.
func (b *Testbed) owners() map[string][]string {
	owners := map[string][]string{}
	for _, n := range b.RunningNodes() {
		for _, target := range n.Process.Node().OwnedTargets() {
			if _, ok := n.Process.Node().FencingToken(target); ok {
				owners[target] = append(owners[target], n.Name)
			}
		}
	}
	return owners
}

// TestKeysAndReleaseOutliveRestore brings the platform back from a copy that was made before a release was published and keys
// were used, twice, while callers go on with the same keys and a node restarts.
func TestKeysAndReleaseOutliveRestore(t *testing.T) {
	b := start(t, Config{})
	time.Sleep(witnessTime)
	for drill := range 2 {
		copied := b.Store.Copy()
		published, err := b.PublishWith(context.Background(), publication.Options{Operator: "rosa", Reason: fmt.Sprint("drill ", drill)})
		if err != nil {
			t.Fatal(err)
		}
		waitFor(t, "release on all nodes", activationBound, func() bool { return b.allHaveRelease(published.Number) })
		order, key := fmt.Sprint("order-", drill), fmt.Sprint("key-", drill)
		first, _, err := post(b.CallerAddresses()[0], "renewal", renewalRequest(order, key))
		if err != nil || first.Outcome != outcome.KindAnswered {
			t.Fatalf("got %s %s (%v), want an answer", first.Outcome, first.Text, err)
		}
		var calls sync.WaitGroup
		done := make(chan struct{})
		for i := range 4 {
			calls.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					default:
					}
					r, _, err := post(b.CallerAddresses()[(i+n)%6], "renewal", renewalRequest(order, key))
					if err == nil && r.Outcome == outcome.KindAnswered && string(r.Body) != string(first.Body) {
						t.Errorf("got %s for a repeated key, want %s", r.Body, first.Body)
					}
					// Other keys make the holders of all shards write.
					other := fmt.Sprintf("other-%d-%d-%d", drill, i, n)
					_, _, _ = post(b.CallerAddresses()[n%6], "renewal", renewalRequest(other, other))
				}
			})
		}
		b.Store.Restore(copied)
		time.Sleep(3 * time.Second)
		waitFor(t, "the key is answered at every node", 10*time.Second, func() bool {
			for _, address := range b.CallerAddresses() {
				r, _, err := post(address, "renewal", renewalRequest(order, key))
				if err != nil || r.Outcome != outcome.KindAnswered {
					return false
				}
			}
			return true
		})
		close(done)
		calls.Wait()
		if got := b.TargetCounts("payments").Orders[order]; got != 1 {
			t.Errorf("drill %d: got %d runs of a keyed request, want 1", drill, got)
		}
		if !b.allHaveRelease(published.Number) {
			t.Errorf("drill %d: a node has gone back to an earlier release", drill)
		}
		name := b.NodeNames()[drill]
		b.KillNode(name)
		if err := b.StartNode(name); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the restarted node has the release", activationBound, func() bool { return b.allHaveRelease(published.Number) })
	}
	next, err := b.PublishWith(context.Background(), publication.Options{Operator: "rosa", Reason: "after the drills"})
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the next release on all nodes", activationBound, func() bool { return b.allHaveRelease(next.Number) })
}

// TestHolderThatMeetsNewEraInItsWriteHandsOnRows brings the platform back from a copy that lacks a key, and lets the holders of the
// shards learn of it from their own writes before their nodes look for a new era. The key must still have its outcome.
func TestHolderThatMeetsNewEraInItsWriteHandsOnRows(t *testing.T) {
	b := start(t, Config{})
	time.Sleep(witnessTime)
	copied := b.Store.Copy()
	first, _, err := post(b.CallerAddresses()[0], "renewal", renewalRequest("order", "key"))
	if err != nil || first.Outcome != outcome.KindAnswered {
		t.Fatalf("got %s %s (%v), want an answer", first.Outcome, first.Text, err)
	}
	for _, n := range b.RunningNodes() {
		n.Platform.HoldEra()
	}
	b.Store.Restore(copied)
	// A write of the key's shard alone: that of another one makes its next holder ask every node for rows in the new era.
	other := "other"
	for shardOf(other) != shardOf("key") {
		other += "-"
	}
	r, _, err := post(b.CallerAddresses()[0], "renewal", renewalRequest(other, other))
	t.Logf("after the restore another key gets %s (%s, %v)", r.Outcome, r.Text, err)
	checkKeyRanOnce(t, b)
}

// TestNodeCountedAsGoneHandsOnRows brings the platform back from a copy that lacks a key, and lets the fleet count the holder of its
// shard as gone, as it does when a slow node's lease ends. The next holder must learn the key's outcome from it.
func TestNodeCountedAsGoneHandsOnRows(t *testing.T) {
	b := start(t, Config{})
	time.Sleep(witnessTime)
	copied := b.Store.Copy()
	first, _, err := post(b.CallerAddresses()[0], "renewal", renewalRequest("order", "key"))
	if err != nil || first.Outcome != outcome.KindAnswered {
		t.Fatalf("got %s %s (%v), want an answer", first.Outcome, first.Text, err)
	}
	holder := b.Node(rendezvous.Rank(fmt.Sprint("ledger/", shardOf("key")), b.NodeNames())[0])
	b.Store.Restore(copied)
	gone := holder.Process.Node().Self().WithState(member.Gone, time.Now())
	row, err := b.Store.Get(context.Background(), member.Kind, holder.Name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Store.Put(context.Background(), member.Kind, holder.Name, row.Version, gone); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "every node counts the holder as gone", 10*time.Second, func() bool {
		for _, n := range b.RunningNodes() {
			if m, _ := n.Process.Node().Members().Get(holder.Name); m.State != member.Gone {
				return false
			}
		}
		return true
	})
	checkKeyRanOnce(t, b)
}

// shardOf returns the ledger shard of a key of renewalRequest.
func shardOf(key string) uint64 {
	scoped := request.Request{Team: "members", Key: key}.ScopedKey()
	return xxhash.Sum64String(scoped) % uint64(settings.Default().Ledger.Shards)
}

// checkKeyRanOnce repeats the request "order" with the key "key" until every ready node answers it, and checks that it ran once.
func checkKeyRanOnce(t *testing.T, b *Testbed) {
	t.Helper()
	waitFor(t, "the key is answered at every node", 10*time.Second, func() bool {
		for _, address := range b.CallerAddresses() {
			r, _, err := post(address, "renewal", renewalRequest("order", "key"))
			if err != nil || r.Outcome != outcome.KindAnswered {
				return false
			}
		}
		return true
	})
	if got := b.TargetCounts("payments").Orders["order"]; got != 1 {
		t.Errorf("got %d runs of a keyed request, want 1", got)
	}
}

// TestTargetsHaveOneOwnerAfterRestore brings the platform back from a copy that knows nothing of the latest owners, while these do
// not reach it and vouch for each other. The former owner, which does reach it and finds its own records, must not own beside them.
// In the end every target has an owner, and fencing tokens have risen.
func TestTargetsHaveOneOwnerAfterRestore(t *testing.T) {
	b := start(t, Config{})
	time.Sleep(witnessTime)
	copied := b.Store.Copy()
	lost := b.NodeNames()[0]
	before := map[string]uint64{}
	for _, n := range b.RunningNodes() {
		for _, target := range n.Process.Node().OwnedTargets() {
			before[target], _ = n.Process.Node().FencingToken(target)
		}
	}
	// The targets of a killed node move to others, which the copy knows nothing of.
	b.KillNode(lost)
	waitFor(t, "the targets of the killed node are owned", 20*time.Second, func() bool { return len(b.owners()) >= len(before) })
	time.Sleep(witnessTime)
	for _, n := range b.RunningNodes() {
		n.Platform.SetCut(true)
	}
	b.Store.Restore(copied)
	restored := time.Now()
	if err := b.StartNode(lost); err != nil {
		t.Fatal(err)
	}
	for time.Since(restored) < 12*time.Second {
		for target, names := range b.owners() {
			if len(names) > 1 {
				t.Fatalf("%s after the restore: target %s has the owners %v, want one", time.Since(restored), target, names)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, n := range b.RunningNodes() {
		n.Platform.SetCut(false)
	}
	waitFor(t, "every target has an owner", 20*time.Second, func() bool { return len(b.owners()) >= len(before) })
	for _, n := range b.RunningNodes() {
		for _, target := range n.Process.Node().OwnedTargets() {
			if got, _ := n.Process.Node().FencingToken(target); got < before[target] {
				t.Errorf("target %s: got fencing token %d, want at least %d", target, got, before[target])
			}
		}
	}
	for i := range 6 {
		r, _, err := post(b.CallerAddresses()[i], "letter", callerapi.RunRequest{Team: "keepers", Input: Input(fmt.Sprint("after", i))})
		if err != nil || r.Outcome != outcome.KindAnswered {
			t.Errorf("got %s %s (%v) at the end, want an answer", r.Outcome, r.Text, err)
		}
	}
}

// TestTargetsHaveOneOwnerIfWritesFailAfterRestore refuses the writes of owner records after a restore, while a node joins that
// ranks first for some of the targets. Every owner must have written its records in the end, and no target two owners meanwhile.
func TestTargetsHaveOneOwnerIfWritesFailAfterRestore(t *testing.T) {
	b := start(t, Config{})
	time.Sleep(witnessTime)
	joining := b.NodeNames()[0]
	b.KillNode(joining)
	targets := len(b.Store.Copy().Objects(owner.Kind))
	waitFor(t, "the targets of the killed node are owned", 20*time.Second, func() bool { return len(b.owners()) >= targets })
	for _, n := range b.RunningNodes() {
		n.Platform.RefuseWrites(owner.Kind)
	}
	empty := b.Store.Copy().Without(owner.Kind)
	b.Store.Restore(empty)
	if err := b.StartNode(joining); err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(2 * time.Millisecond) {
		for target, names := range b.owners() {
			if len(names) > 1 {
				t.Fatalf("%s after the restore: target %s has the owners %v, want one", time.Since(began), target, names)
			}
		}
	}
	for _, n := range b.RunningNodes() {
		n.Platform.RefuseWrites("")
	}
	waitFor(t, "every target has an owner with a record of this era", 20*time.Second, func() bool {
		owners := b.owners()
		for target, names := range owners {
			o, err := b.Store.Get(context.Background(), owner.Kind, object.NameInEra(target, b.Store.Era()))
			var r owner.Record
			if err != nil || json.Unmarshal(o.Value, &r) != nil || len(names) != 1 || r.Holder != names[0] {
				return false
			}
		}
		return len(owners) >= targets
	})
}
