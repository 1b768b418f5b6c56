package delta_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/peer/codec"
	"agateward/internal/peer/delta"
	"agateward/ward"

	"pgregory.net/rapid"
)

func drawConfig(t *rapid.T, revision uint64) *ward.Config {
	c := &ward.Config{Fleet: "f", Revision: revision, Ticket: revision, Accepted: time.Unix(int64(revision), 5).UTC()}
	for i := range 4 {
		name := fmt.Sprintf("n%d", i)
		ticket := rapid.Uint64Range(0, 3).Draw(t, "ticket")
		if ticket == 0 {
			continue
		}
		c.Upstreams = append(c.Upstreams, ward.Upstream{Name: name, Ticket: ticket})
		c.Routes = append(c.Routes, ward.Route{Name: name, Ticket: ticket, Methods: []string{"GET"}[:ticket%2]})
		c.Teams = append(c.Teams, ward.Team{Name: name, Ticket: ticket})
		c.Moves = append(c.Moves, ward.Move{Name: name, Ticket: ticket, Deadline: time.Unix(int64(ticket), 0).UTC()})
	}
	return c
}

// TestApplyDelta sends a delta through the codec, which sets the local time
// zone, and compares the result as JSON, the form in the store.
func TestApplyDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawConfig(t, 1), drawConfig(t, 2)
		b, err := codec.Marshal(delta.Make(old, next))
		if err != nil {
			t.Fatal(err)
		}
		var d ward.ConfigDelta
		if err := codec.Unmarshal(b, &d); err != nil {
			t.Fatal(err)
		}
		got, err := delta.Apply(old, d)
		if err != nil {
			t.Fatal(err)
		}
		gotJSON, _ := json.Marshal(got)
		wantJSON, _ := json.Marshal(next)
		if len(next.Upstreams) > 0 && string(gotJSON) != string(wantJSON) {
			t.Errorf("got %s, want %s", gotJSON, wantJSON)
		}
		other := drawConfig(t, 1)
		other.Teams = append(other.Teams, ward.Team{Name: "other"})
		if _, err := delta.Apply(other, d); !errors.Is(err, delta.ErrMismatch) {
			t.Errorf("Apply() on another base = %v, want a mismatch", err)
		}
	})
}
