package acceptance_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	_ "agateward/internal/bench/seed"
	"agateward/internal/result/code"
	"agateward/internal/ticket/acceptance"
	"agateward/ward"

	"pgregory.net/rapid"
)

// fakeStore is a Store whose calls fail as the test decides.
type fakeStore struct {
	ward.Store
	keys map[string]ward.Record
	// next is called before each call and returns the error of the call. A write
	// that fails with ErrOutcomeUnknown still takes effect when applied returns
	// true.
	next    func() error
	applied func() bool
}

func (s *fakeStore) Get(_ context.Context, key string) (ward.Record, error) {
	if err := s.next(); err != nil {
		return ward.Record{}, ward.ErrUnavailable
	}
	r := s.keys[key]
	r.Key = key
	return r, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte) (ward.Record, error) {
	err := s.next()
	if errors.Is(err, ward.ErrUnavailable) || err != nil && !s.applied() {
		return ward.Record{}, err
	}
	r := s.keys[key]
	if r.Revision != revision {
		if err == nil {
			err = ward.ErrConflict
		}
		return r, err
	}
	s.keys[key] = ward.Record{Key: key, Value: value, Revision: revision + 1}
	return s.keys[key], err
}

type fixedClock struct{ ward.SystemClock }

func (fixedClock) Now() time.Time { return time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC) }

func team(number uint64, name string, weight int) ward.Ticket {
	return ward.Ticket{Number: number, Operator: "o", Teams: []ward.Team{{Name: name, Weight: weight}}}
}

func ok() error { return nil }

func newAcceptance(s *fakeStore) acceptance.Acceptance {
	n := 0
	return acceptance.Acceptance{Store: s, Clock: fixedClock{}, Fleet: "f", NewAttempt: func() string {
		n++
		return fmt.Sprint("attempt-", n)
	}}
}

func TestCodes(t *testing.T) {
	s := &fakeStore{keys: map[string]ward.Record{}, next: ok}
	a := newAcceptance(s)
	tests := []struct {
		name    string
		ticket  ward.Ticket
		already bool
		code    code.Code
	}{
		{"first", team(5, "a", 1), false, code.Code{}},
		{"same content", team(5, "a", 1), true, code.Code{}},
		{"other content", team(5, "a", 2), false, code.NumberTaken},
		{"lower number", team(4, "a", 2), false, code.NumberTooLow},
		{"lower number, other object", team(3, "b", 2), false, code.Code{}},
		{"invalid", team(6, "b c", 2), false, code.TicketInvalid},
	}
	for _, tt := range tests {
		r, err := a.Submit(t.Context(), tt.ticket)
		if (err == nil) != (tt.code.Number == 0) || err != nil && !tt.code.Is(err) || r.Already != tt.already {
			t.Errorf("%s: %+v, %v", tt.name, r, err)
		}
	}
	if _, err := a.Show(t.Context(), 9); !code.NoSuchTicket.Is(err) {
		t.Errorf("show: %v", err)
	}
	s.next = func() error { return ward.ErrUnavailable }
	if _, err := a.Submit(t.Context(), team(9, "z", 1)); !code.TicketStoreDown.Is(err) {
		t.Errorf("store down: %v", err)
	}
}

// TestAcceptedNeverReverts submits repeated, racing and lost tickets to a failing
// store. A ticket reported as accepted must stay accepted, one reported as not
// accepted must not be in the configuration, a number must keep its content, and
// no object may go back to a lower number.
func TestAcceptedNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{keys: map[string]ward.Record{}}
		faults := []error{nil, nil, nil, nil, ward.ErrUnavailable, ward.ErrOutcomeUnknown}
		s.next = func() error { return rapid.SampledFrom(faults).Draw(t, "fault") }
		s.applied = func() bool { return rapid.Bool().Draw(t, "landed") }
		a := newAcceptance(s)
		accepted := map[uint64]ward.Team{}
		highest := map[string]uint64{}
		for range rapid.IntRange(1, 25).Draw(t, "submissions") {
			ticket := team(rapid.Uint64Range(1, 6).Draw(t, "number"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), rapid.IntRange(1, 2).Draw(t, "weight"))
			ticket.Teams[0].Removed = rapid.IntRange(0, 4).Draw(t, "removed") == 0
			before := inIndex(config(t, s), ticket.Number)
			_, err := a.Submit(t.Context(), ticket)
			cfg := config(t, s)
			after := inIndex(cfg, ticket.Number)
			if after > 1 || err == nil && after != 1 {
				t.Fatalf("ticket %d stands %d times in the index, error %v", ticket.Number, after, err)
			}
			if err != nil && !code.AcceptanceUnknown.Is(err) && after != before {
				t.Fatalf("ticket %d is in force but was told: %v", ticket.Number, err)
			}
			if was, ok := accepted[ticket.Number]; err == nil && ok && was != ticket.Teams[0] {
				t.Fatalf("two contents of number %d were accepted", ticket.Number)
			}
			if err == nil {
				accepted[ticket.Number] = ticket.Teams[0]
			}
			for number := range accepted {
				if inIndex(cfg, number) != 1 {
					t.Fatalf("ticket %d was accepted and is gone", number)
				}
			}
			for name, number := range numbers(cfg) {
				if number < highest[name] {
					t.Fatalf("team %s went back from ticket %d to %d", name, highest[name], number)
				}
				highest[name] = number
			}
		}
	})
}

func config(t *rapid.T, s *fakeStore) ward.Config {
	var c ward.Config
	if r := s.keys[acceptance.KeyConfig]; r.Revision > 0 {
		if err := json.Unmarshal(r.Value, &c); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func inIndex(c ward.Config, number uint64) int {
	n := 0
	for _, x := range c.Recent {
		if x.Number == number {
			n++
		}
	}
	return n
}

// numbers returns the number in force of each team, including removed ones.
func numbers(c ward.Config) map[string]uint64 {
	n := map[string]uint64{}
	for _, x := range c.Teams {
		n[x.Name] = x.Ticket
	}
	for _, x := range c.Tombstones {
		n[x.Name] = x.Ticket
	}
	return n
}
