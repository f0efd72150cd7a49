package release

import (
	"strings"
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/datacentre"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pipeline"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/pool"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/stage"
	"github.com/lacewingdrift/lacewingdrift/internal/catalog/team"
)

func smallSet() Set {
	s := NewSet()
	s.Add(datacentre.Datacentre{Name: "maipo"}.WithDefaults())
	s.Add(pool.Pool{Name: "letters", Targets: []pool.Target{{Name: "letters-1", Address: "127.0.0.1:1", Datacentre: "maipo"}}}.WithDefaults())
	s.Add(stage.Stage{Name: "write", Pool: "letters"}.WithDefaults())
	s.Add(pipeline.Pipeline{Name: "letter", Stages: []string{"write"}}.WithDefaults())
	s.Add(team.Team{Name: "keepers"}.WithDefaults())
	return s
}

func TestValidateNamesObjectAndField(t *testing.T) {
	tests := []struct {
		name   string
		change func(Set)
		want   string
	}{
		{"valid", func(Set) {}, ""},
		{"stage without pool", func(s Set) { s.Stages["write"] = stage.Stage{Name: "write", Pool: "none"}.WithDefaults() }, `stage "write": pool: pool "none" does not exist`},
		{"pipeline without stage", func(s Set) { delete(s.Stages, "write") }, `pipeline "letter": stages: stage "write" does not exist`},
		{"target without data centre", func(s Set) { delete(s.Datacentres, "maipo") }, `pool "letters": target.letters-1.datacentre: data centre "maipo" does not exist`},
		{"pool without target in service", func(s Set) { s.Datacentres["maipo"] = s.Datacentres["maipo"].WithState(datacentre.OutOfService) }, `pool "letters": reach: no target is in a data centre that is in`},
		{"timeout over deadline", func(s Set) {
			s.Stages["write"] = stage.Stage{Name: "write", Pool: "letters", Timeout: 60e9}.WithDefaults()
		}, `pipeline "letter": stages: a stage timeout of 1m0s is longer than the deadline 9s`},
		{"cold over limit", func(s Set) {
			p := s.Pools["letters"]
			p.ColdLimit = p.Limit + 1
			s.Pools["letters"] = p
		}, `pool "letters": cold: must be 1 to the limit 8, not 9`},
		{"weight", func(s Set) { s.Teams["keepers"] = team.Team{Name: "keepers", Weight: -1, Priority: "urgent"} }, `team "keepers": weight: must be 1 to 1000, not -1
team "keepers": priority: must be high, normal or low, not "urgent"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallSet()
			tt.change(s)
			got := ""
			if err := s.Validate().Err(); err != nil {
				got = err.Error()
			}
			if !strings.Contains(got, tt.want) || (tt.want == "" && got != "") {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestBuildReusesChunksAndRejectsWrongContent(t *testing.T) {
	s := smallSet()
	chunks, err := Pack(s)
	if err != nil {
		t.Fatal(err)
	}
	var hashes []string
	for _, c := range chunks {
		hashes = append(hashes, c.Hash)
	}
	var none *Release
	first, err := none.Build(Head{Number: 1, Chunks: hashes}, chunks)
	if err != nil {
		t.Fatal(err)
	}
	second, err := first.Build(Head{Number: 2, Chunks: hashes}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := Diff(first.Set, second.Set); len(got) != 0 {
		t.Errorf("got changes %v, want none", got)
	}
	wrong := Chunk{Hash: hashes[0], Data: []byte("[]")}
	if _, err := none.Build(Head{Number: 3, Chunks: hashes[:1]}, []Chunk{wrong}); err == nil {
		t.Error("got no error for a chunk whose content does not match its hash, want one")
	}
}
