package header

import (
	"net/http"
	"strings"
	"testing"

	"agateward/ward"
)

// Guards against an upstream that says that it is brittle and is taken for sound, as its
// value is not the expected one.
func TestReadBrittle(t *testing.T) {
	const name = "Server-Brittle"
	cases := []struct {
		name   string
		values []string
		want   ward.ForwardReply
	}{
		{"none", nil, ward.ForwardReply{}},
		{"number", []string{" 3"}, ward.ForwardReply{Brittle: true, BrittleValue: "3"}},
		{"zero", []string{"0"}, ward.ForwardReply{Brittle: true, BrittleValue: "0"}},
		{"word", []string{"yes"}, ward.ForwardReply{Brittle: true, BrittleValue: "yes"}},
		{"empty", []string{""}, ward.ForwardReply{Brittle: true}},
		{"twice", []string{"3", "4"}, ward.ForwardReply{Brittle: true, BrittleValue: "3"}},
		{"a thousand digits", []string{strings.Repeat("9", 1000)}, ward.ForwardReply{Brittle: true, BrittleValue: strings.Repeat("9", maxFault)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got ward.ForwardReply
			ReadBrittle(&got, http.Header{name: c.values}, name)
			if got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}
