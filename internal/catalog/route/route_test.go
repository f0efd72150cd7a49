package route

import "testing"

// TestCaller covers keys on public routes, which need none: a request with a key belongs to the team that holds it, on every route,
// and is denied if none does.
func TestCaller(t *testing.T) {
	keeper := Team{Name: "keepers", Priority: 1, HasPriority: true}
	withTeams := NewTable(Config{RequiresKey: true, APIKeys: map[string]Team{"k1": keeper, "": {Name: "nobody"}}})
	withoutTeams := NewTable(Config{})
	tests := []struct {
		name     string
		table    *Table
		isPublic bool
		key      string
		want     Team
		denied   bool
	}{
		{name: "held key", table: withTeams, key: "k1", want: keeper},
		{name: "held key, public route", table: withTeams, isPublic: true, key: "k1", want: keeper},
		{name: "unknown key", table: withTeams, key: "k2", denied: true},
		{name: "unknown key, public route", table: withTeams, isPublic: true, key: "k2", denied: true},
		{name: "no key", table: withTeams, denied: true},
		{name: "no key, public route", table: withTeams, isPublic: true},
		{name: "key without teams", table: withoutTeams, key: "k1"},
		{name: "no key, without teams", table: withoutTeams},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := tt.table.Caller(Route{Public: tt.isPublic}, tt.key)
			if ok == tt.denied {
				t.Errorf("got allowed %t, want %t", ok, !tt.denied)
			}
			if got != tt.want {
				t.Errorf("got team %+v, want %+v", got, tt.want)
			}
		})
	}
}
