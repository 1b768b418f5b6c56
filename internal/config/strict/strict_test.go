package strict

import (
	"strings"
	"testing"
	"time"

	"agateward/ward"
)

type sample struct {
	Name  string        `json:"name"`
	Count int           `json:"count"`
	Wait  ward.Duration `json:"wait"`
	Inner struct {
		On   bool     `json:"on"`
		List []string `json:"list"`
	} `json:"inner"`
}

func TestDecode(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"comments and trailing commas", "{ // c\n\"name\": \"a\",\n}", nil},
		{"all faults at once", "{\n\"nam\": 1,\n\"count\": \"x\",\n\"wait\": 5,\n\"inner\": {\"list\": [1, \"b\"]}}", []string{
			"f:2: nam: unknown key; allowed here: count, inner, name, wait",
			"f:3: count: \"x\" is not a whole number",
			"f:4: wait: a duration is a string with a unit, such as \"250ms\"",
			"f:5: inner.list[0]: 1 is not a string",
		}},
		{"given twice", "{\"name\": \"a\",\n\"name\": \"b\"}", []string{"f:2: name: is given twice"}},
		{"syntax", "{\n\"name\": }", []string{"f:2: invalid character '}' at start of value"}},
		{"null", "{\"count\":\nnull}", []string{"f:2: count: null is no value; give a whole number, or leave the key out"}},
		{"not an object", "[]", []string{"f:1: [] is not an object"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s sample
			_, faults := Decode("f", []byte(c.text), &s)
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			if strings.Join(got, "\n") != strings.Join(c.want, "\n") {
				t.Errorf("faults:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	s := sample{Count: 7, Wait: ward.Duration(time.Second)}
	doc, faults := Decode("f", []byte("{\"inner\": {\n\"on\": true}}"), &s)
	if len(faults) != 0 || s.Count != 7 || !s.Inner.On || s.Wait.Std() != time.Second {
		t.Fatalf("got %+v, faults %v", s, faults)
	}
	if f := doc.Fault("inner.on", "x"); f.Line != 2 {
		t.Errorf("line of inner.on = %d, want 2", f.Line)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "inner": {"list": ["x",], /* c */ "on": true}}`))
	f.Add([]byte("{\"wait\": \"1h\",\n\"count\": -1}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s sample
		doc, faults := Decode("f", b, &s)
		for _, x := range append(faults, doc.Fault("inner.list[0]", "x")) {
			if x.Line < 0 || x.Line > strings.Count(string(b), "\n")+2 {
				t.Errorf("line %d outside of the file", x.Line)
			}
		}
	})
}
