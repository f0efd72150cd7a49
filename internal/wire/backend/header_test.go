package backend

import (
	"math"
	"net/http"
	"testing"
)

func TestParseHeaderLimit(t *testing.T) {
	tests := []struct {
		name    string
		values  []string
		want    float64
		invalid bool
	}{
		{name: "none", want: math.Inf(1)},
		{name: "named", values: []string{"1.5"}, want: 1.5},
		{name: "takes nothing", values: []string{"0"}},
		{name: "empty", values: []string{""}, invalid: true},
		{name: "negative", values: []string{"-1"}, invalid: true},
		{name: "not a number", values: []string{"NaN"}, invalid: true},
		{name: "infinite", values: []string{"Inf"}, invalid: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := http.Header{HeaderBoot: {"b-1"}}
			if tt.values != nil {
				h[HeaderLimit] = tt.values
			}
			got := parseHeader(h)
			if (got.LimitErr != nil) != tt.invalid || !tt.invalid && got.Limit != tt.want {
				t.Errorf("got limit %v (%v), want %v, invalid %t", got.Limit, got.LimitErr, tt.want, tt.invalid)
			}
		})
	}
}
