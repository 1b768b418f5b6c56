package program_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"agateward/internal/bench/fleet"
	"agateward/internal/config/settings"
	"agateward/internal/platform/memory"
	"agateward/internal/result/code"
	"agateward/ward"
)

// refusal is a case in which an entry refuses a request as not run.
type refusal struct {
	name   string
	want   code.Code
	path   string
	body   string
	header []string // pairs, in addition to team and key
	// before puts the entry into the state in which it refuses the request.
	before func(f *fleet.Fleet)
}

const completions = "/v1/completions"

func refusals() []refusal {
	prompt := `{"model": "writer", "max_tokens": 4, "prompt": "p"}`
	return []refusal{
		{name: "no JSON", want: code.BadBody, path: completions, body: "{"},
		{name: "large body", want: code.BodyTooLarge, path: deposits, body: strings.Repeat("a", 5000)},
		{name: "unknown model", want: code.UnknownModel, path: completions, body: `{"model": "x", "prompt": "p"}`},
		{name: "unknown service", want: code.UnknownRoute, path: "/services/x/deposits", body: "{}"},
		{name: "unknown team", want: code.UnknownTeam, path: deposits, body: "{}", header: []string{"Agateward-Team", "x"}},
		{name: "tier above the route's", want: code.TierNotAllowed, path: completions, body: prompt, header: []string{"Agateward-Route", "letters", "Agateward-Tier", "1"}},
		{name: "bad deadline", want: code.BadHeader, path: deposits, body: "{}", header: []string{"Agateward-Deadline", "soon"}},
		{name: "no key", want: code.KeyRequired, path: deposits, body: "{}", header: []string{"Idempotency-Key", ""}},
		{name: "deadline that can't be met", want: code.DeadlineUnreachable, path: completions, body: prompt, header: []string{"Agateward-Deadline", "1us"}},
		{name: "store down", want: code.RecordsDown, path: deposits, body: "{}", before: func(f *fleet.Fleet) {
			f.Platform.SetFaults(memory.Faults{Down: true})
		}},
	}
}

// TestNotRunIsTrue has requests refused as not run for different reasons, and checks
// that neither the service nor the engine has run any of them.
func TestNotRunIsTrue(t *testing.T) {
	f, booking := start(t, func(s *settings.Settings) { s.Callers.MaxBody = 4096 })
	for _, c := range refusals() {
		t.Run(c.name, func(t *testing.T) {
			if c.before != nil {
				c.before(f)
			}
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.Target(0)+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Agateward-Team", "guests")
			r.Header.Set("Idempotency-Key", c.name)
			for i := 0; i+1 < len(c.header); i += 2 {
				r.Header.Set(c.header[i], c.header[i+1])
			}
			res, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			b, _ := io.ReadAll(res.Body)
			if got := res.Header.Get("Agateward-Code"); got != strconv.Itoa(c.want.Number) || res.Header.Get("Agateward-Run") != string(ward.NotRun) {
				t.Errorf("code %s, run %q, want %s: %s", got, res.Header.Get("Agateward-Run"), c.want, b)
			}
		})
	}
	if n := len(booking.Runs()); n != 0 {
		t.Errorf("the service ran %v", booking.Runs())
	}
	if runs := engineRuns(t, f); len(runs) != 0 {
		t.Errorf("the engine ran %v", runs)
	}
}

// engineRuns returns the runs that the engine counted, by prompt.
func engineRuns(t *testing.T, f *fleet.Fleet) map[string]int {
	t.Helper()
	list, err := f.Platform.Instances(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	runs := map[string]int{}
	for _, i := range list {
		if i.Name != "engine-1" {
			continue
		}
		res, err := http.Get("http://" + i.Address + "/runs")
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if err := json.NewDecoder(res.Body).Decode(&runs); err != nil {
			t.Fatal(err)
		}
	}
	return runs
}
