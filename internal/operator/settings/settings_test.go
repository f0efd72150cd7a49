package settings

import (
	"strings"
	"testing"
	"time"
)

const validSettings = `
name = "maipo-1"
datacentre = "maipo"
[caller]
address = "127.0.0.1:8000"
[peer]
address = "127.0.0.1:8100"
[platform]
url = "http://127.0.0.1:7000"
`

func TestParseListsEveryViolation(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"sound", validSettings, nil},
		{"empty", "", []string{"name: is missing", "datacentre: is missing", "caller.address", "peer.address", "platform.url"}},
		{"unknown keys", validSettings + "[timing]\nbeet = \"1s\"\n[log]\ncolour = true\n", []string{"timing.beet: is not known", "log.colour: is not known"}},
		{"bound over lease", validSettings + "[timing]\nbound = \"7s\"\n", []string{"timing.bound: must be below the lease"}},
		{"grace below twice the lag", validSettings + "[timing]\nlag = \"2s\"\ngrace = \"3s\"\n", []string{"timing.grace: must be at least twice the lag"}},
		{"no time to stop", validSettings + "[timing]\nlag = \"0s\"\ngrace = \"100ms\"\n", []string{"timing.grace: must be at least 1s"}},
		{"short token", validSettings + "[operator]\naddress = \"127.0.0.1:1\"\n[[operator.token]]\nwho = \"rosa\"\nvalue = \"short\"\nrole = \"king\"\n",
			[]string{`operator.token.value: of "rosa" must have at least 16`, `operator.token.role`}},
		{"half of a key pair", validSettings + "[caller.tls]\ncert = \"x\"\n", []string{"caller.tls: cert and key must be given together"}},
		{"no TOML", "name = ", []string{"file:"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, violations := Parse([]byte(tt.text))
			got := violations.Error()
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got %q, want it to name %q", got, want)
				}
			}
			if len(tt.want) == 0 && got != "" {
				t.Errorf("got %q, want no violation", got)
			}
			if strings.Contains(got, `"short"`) {
				t.Error("got a token's value in a violation")
			}
		})
	}
}

func TestEncodedDefaultsAreReadable(t *testing.T) {
	text, err := Default().Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, violations := Parse([]byte(text))
	for _, v := range violations {
		if strings.Contains(v.Text, "not known") || v.Field == "file" {
			t.Errorf("got %s, want the printed defaults to be readable", v)
		}
	}
}

// TestApplyTime guards against a missing bound that counts as one of no time.
func TestApplyTime(t *testing.T) {
	for _, c := range []struct{ drain, config, want time.Duration }{
		{0, 0, 0}, {2 * time.Second, 0, 2 * time.Second}, {0, 3 * time.Second, 3 * time.Second}, {4 * time.Second, 3 * time.Second, 3 * time.Second},
	} {
		if got := (Gateway{DrainTime: c.drain, ConfigTime: c.config}).ApplyTime(); got != c.want {
			t.Errorf("drain time %s, configuration time %s: got %s, want %s", c.drain, c.config, got, c.want)
		}
	}
}
