package desk

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/roster"
)

func TestShards(t *testing.T) {
	var many []roster.Target
	for i := range 18 {
		many = append(many, target(fmt.Sprintf("t%02d", i), string(rune('a'+i%3))))
	}
	large := roster.New().WithTargets(many, time.Time{})
	small := roster.New().WithTargets(many[:shardFrom-1], time.Time{})
	if got := Shards(small, "s", "a", "r"); len(got) != 1 || got[0] != "" {
		t.Errorf("small service: got shards %q, want one for all", got)
	}
	if got := Shards(large, "s", "b", "r"); len(got) != 3 || got[0] != "b" {
		t.Errorf("large service: got shards %q, want that of the data centre first", got)
	}
	first := map[string]int{}
	for i := range 300 {
		first[Shards(large.WithOut([]string{"b"}), "s", "b", fmt.Sprint(i))[0]]++
	}
	if first["b"] > 0 || first["a"] < 100 || first["c"] < 100 {
		t.Errorf("data centre is out: first shards are %v, want the others evenly", first)
	}
}

func TestANodeThatHasStartedAgainIsNotPassedOver(t *testing.T) {
	now := time.Now()
	x := shun{born: 1, until: now.Add(time.Minute)}
	if !x.passes(now, roster.Node{Name: "n", Born: 1}) {
		t.Error("a node that did not answer is asked again at once")
	}
	if x.passes(now, roster.Node{Name: "n", Born: 2}) {
		t.Error("a node that has started again is passed over")
	}
}
