package tally

import (
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	good := Outcome{Tier: 1, Result: Good, Run: "k", Order: true}
	refused := Outcome{Tier: 1, Result: Refused, Code: 2002, Run: "k", Order: true}
	unknown := Outcome{Tier: 1, Result: Refused, Code: 4001, Run: "k", Order: true}
	tests := []struct {
		name     string
		outcomes []Outcome
		runs     int
		want     Violations
	}{
		{"ran once", []Outcome{good, good}, 1, Violations{}},
		{"ran twice", []Outcome{good, good}, 2, Violations{DoubleRuns: 1}},
		{"request ran twice", []Outcome{{Tier: 1, Result: Good, Run: "k"}}, 2, Violations{DoubleDispatches: 1}},
		{"not run", []Outcome{refused}, 0, Violations{}},
		{"refused as not run but ran", []Outcome{refused}, 1, Violations{FalseNotRun: 1}},
		{"status that promises not run, but ran", []Outcome{{Tier: 1, Result: Failed, Status: 503, Run: "k"}}, 1, Violations{FalseNotRun: 1}},
		{"status that promises nothing", []Outcome{{Tier: 1, Result: Failed, Status: 500, Run: "k"}}, 1, Violations{}},
		{"first refused, second ran", []Outcome{refused, good}, 1, Violations{}},
		{"unknown", []Outcome{unknown}, 1, Violations{}},
		{"not sent but ran", []Outcome{{Tier: 1, Result: Broken, NotSent: true, Run: "k"}}, 1, Violations{FalseNotRun: 1}},
		{"answer without a run", []Outcome{good}, 0, Violations{FalseAnswers: 1}},
		{"wrong", []Outcome{{Tier: 1, Result: Wrong, Run: "k"}}, 1, Violations{WrongAnswers: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var ty Tally
			for _, o := range tt.outcomes {
				ty.Sent(o.Tier)
				ty.Add(o)
			}
			got := ty.Check(map[string]int{"k": tt.runs})
			if got.Sum() != tt.want.Sum() {
				t.Errorf("%+v, want %+v", got, tt.want)
			}
			got.Details = nil
			if got.DoubleRuns != tt.want.DoubleRuns || got.FalseNotRun != tt.want.FalseNotRun || got.FalseAnswers != tt.want.FalseAnswers {
				t.Errorf("%+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestTable(t *testing.T) {
	var ty Tally
	ty.Sent(1)
	ty.Sent(1)
	ty.Add(Outcome{Tier: 1, Result: Good})
	ty.Add(Outcome{Tier: 1, Result: Refused, Code: 2002})
	var b strings.Builder
	if err := ty.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"50.0 %", "AW-2002 shed"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("table without %q:\n%s", want, b.String())
		}
	}
}
