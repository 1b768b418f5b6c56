package header

import (
	"net/http"
	"strings"
	"testing"

	"agateward/ward"
)

func TestReadLimit(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		want   ward.RateLimit
	}{
		{"none", nil, ward.RateLimit{}},
		{"decimal", []string{"1.7"}, ward.RateLimit{Limited: true, PerSecond: 1.7}},
		{"with spaces", []string{" 2 "}, ward.RateLimit{Limited: true, PerSecond: 2}},
		{"none taken", []string{"0"}, ward.RateLimit{Limited: true}},
		{"twice", []string{"3", "2"}, ward.RateLimit{Limited: true, PerSecond: 2}},
		{"twice in one field", []string{"2, 3"}, ward.RateLimit{Limited: true, PerSecond: 2}},
		{"one of two unreadable", []string{"x", "3"}, ward.RateLimit{Limited: true, PerSecond: 3, Fault: "x"}},
		{"negative", []string{"-1"}, ward.RateLimit{Unknown: true, Fault: "-1"}},
		{"not a number", []string{"NaN"}, ward.RateLimit{Unknown: true, Fault: "NaN"}},
		{"word", []string{"many"}, ward.RateLimit{Unknown: true, Fault: "many"}},
		{"empty", []string{""}, ward.RateLimit{Unknown: true, Fault: "empty"}},
		{"infinite", []string{"Inf"}, ward.RateLimit{Fault: "Inf"}},
		{"a thousand digits", []string{strings.Repeat("9", 1000)}, ward.RateLimit{Fault: strings.Repeat("9", maxFault)}},
		{"a thousand decimals", []string{"0." + strings.Repeat("0", 1000) + "1"}, ward.RateLimit{Limited: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := ReadLimit(http.Header{"Server-Limit": c.values}, "Server-Limit"); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
