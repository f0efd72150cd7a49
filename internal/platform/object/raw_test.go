package object

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

func TestFields(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for _, c := range []struct {
		name, data string
		want       []string
		wantErr    bool
	}{
		{"empty", ` { } `, nil, false},
		{"null", ` null `, nil, false},
		{"values", " {\"a\" : 1 ,\n\"b\":\"}\\\"\",\"c\":[1,{}]}\n", []string{"a", "1", "b", `"}\""`, "c", "[1,{}]"}, false},
		{"deep value", `{"a":` + deep + `,"b":2}`, []string{"a", deep, "b", "2"}, false},
		{"values that are not JSON", "{\"a\":NaN,\"b\":\"\xff\n\",\"c\":[}}", []string{"a", "NaN", "b", "\"\xff\n\"", "c", "[}"}, false},
		{"escaped name", `{"\u0061":1,"\ud800":2,"a":3}`, []string{"a", "1", "\ufffd", "2", "a", "3"}, false},
		{"end in a value", `{"a":[1`, nil, true},
		{"end in a string", `{"a":"1\"`, nil, true},
		{"end after a field", `{"a":1,`, nil, true},
		{"no value", `{"a":}`, nil, true},
		{"no name", `{1:1}`, nil, true},
		{"more than one value", `{} {}`, nil, true},
		{"zero byte at the end", "{}\x00", nil, true},
		{"array", `[]`, nil, true},
		{"nothing", ``, nil, true},
		{"not null", `nothing`, nil, true},
	} {
		fields, err := Fields([]byte(c.data))
		if (err != nil) != c.wantErr {
			t.Errorf("%s: got error %v, want one: %v", c.name, err, c.wantErr)
		}
		var got []string
		for _, f := range fields {
			got = append(got, f.Name, string(f.Value))
		}
		if err == nil && !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %.200q, want %.200q", c.name, got, c.want)
		}
	}
}

// FuzzFields compares Fields with encoding/json for all that the latter reads.
func FuzzFields(f *testing.F) {
	for _, seed := range []string{`{"a":[1,{"b":"}"}],"c":"\""}`, `[1,[2]]`, "{\"\\u0061\" : null }\n", `{"a":1,}`, `nul`, "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fields, err := Fields(data)
		var want map[string]json.RawMessage
		if json.Unmarshal(data, &want) == nil {
			got := map[string]json.RawMessage{}
			for _, x := range fields {
				got[x.Name] = x.Value
			}
			if err != nil || len(got) != len(want) {
				t.Fatalf("got %d fields and error %v, want %d", len(got), err, len(want))
			}
			for name, value := range want {
				if string(got[name]) != string(value) {
					t.Errorf("got %q, want %q", got[name], value)
				}
			}
		}
		elements, err := Elements(data)
		var wantElements []json.RawMessage
		if json.Unmarshal(data, &wantElements) == nil && (err != nil || len(elements) != len(wantElements)) {
			t.Errorf("got %d elements and error %v, want %d", len(elements), err, len(wantElements))
		}
	})
}
