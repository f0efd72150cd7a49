package call

import "testing"

func TestHeadIdentifiesRequest(t *testing.T) {
	base := Call{ID: "1", Method: "POST", Host: "app.example", URI: "/a/1?b=c"}
	tests := []struct {
		name   string
		change func(*Call)
		team   string
		want   bool
	}{
		{name: "another attempt with another key of the team", change: func(c *Call) { c.ID, c.APIKey = "2", "other" }, want: true},
		{name: "host in capitals", change: func(c *Call) { c.Host = "App.Example" }, want: true},
		{name: "another method", change: func(c *Call) { c.Method = "PUT" }},
		{name: "another host", change: func(c *Call) { c.Host = "other.example" }},
		{name: "another query", change: func(c *Call) { c.URI = "/a/1?b=d" }},
		{name: "another team", change: func(*Call) {}, team: "other"},
		{name: "fields divided otherwise", change: func(c *Call) { c.Host, c.URI = "app.example/a", "/1?b=c" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := base
			tt.change(&c)
			if got := c.Head(tt.team) == base.Head(""); got != tt.want {
				t.Errorf("got the same head %t, want %t", got, tt.want)
			}
		})
	}
}
