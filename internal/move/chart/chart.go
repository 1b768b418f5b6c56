// Package chart interprets the state chart of a move.
//
// The chart is a file in JSON with comments. It lists the states and their
// transitions, with guards and actions that package machine implements. Loading
// a chart validates it: the target states exist, each state can be reached and
// leads to a final one, and the guards and actions are known.
//
// # Usage
//
//	c, err := chart.Load(chart.Default(), guards, actions)
//	t, ok := c.Next("canary", func(guard string) bool { return holds[guard] })
package chart

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"
)

//go:embed move.jsonc
var defaultChart []byte

// Default returns the embedded chart, which entries use.
func Default() []byte { return slices.Clone(defaultChart) }

// Transition leads to state To. It is taken when all guards in If hold, and Do
// lists its actions.
type Transition struct {
	If []string `json:"if"`
	To string   `json:"to"`
	Do []string `json:"do"`
}

// State is one state of a chart.
type State struct {
	Name string `json:"name"`
	// Enter lists the actions of every transition into the state from another one.
	Enter       []string     `json:"enter"`
	Transitions []Transition `json:"transitions"`
	Final       bool         `json:"final"`
}

// Chart is a state chart. Load returns validated ones.
type Chart struct {
	Initial string  `json:"initial"`
	States  []State `json:"states"`
}

// Load parses and validates a chart that may use the given guards and actions.
func Load(b []byte, guards, actions []string) (Chart, error) {
	var c Chart
	std, err := hujson.Standardize(slices.Clone(b))
	if err != nil {
		return c, fmt.Errorf("chart: %w", err)
	}
	if err := json.Unmarshal(std, &c); err != nil {
		return c, fmt.Errorf("chart: %w", err)
	}
	return c, c.check(guards, actions)
}

// State returns the state of a name.
func (c Chart) State(name string) (State, bool) {
	i := slices.IndexFunc(c.States, func(s State) bool { return s.Name == name })
	if i < 0 {
		return State{}, false
	}
	return c.States[i], true
}

// Next returns the first transition out of a state whose guards all hold. Its
// actions are followed by the Enter actions of the target state, unless it leads
// to the same state.
func (c Chart) Next(state string, holds func(guard string) bool) (Transition, bool) {
	s, _ := c.State(state)
	for _, t := range s.Transitions {
		if slices.ContainsFunc(t.If, func(g string) bool { return !holds(g) }) {
			continue
		}
		if t.To != state {
			next, _ := c.State(t.To)
			t.Do = append(slices.Clone(t.Do), next.Enter...)
		}
		return t, true
	}
	return Transition{}, false
}

// Final reports whether a state is final.
func (c Chart) Final(state string) bool {
	s, ok := c.State(state)
	return ok && s.Final
}

func (c Chart) check(guards, actions []string) error {
	if _, ok := c.State(c.Initial); !ok {
		return fmt.Errorf("chart: no initial state %q", c.Initial)
	}
	for _, s := range c.States {
		if s.Final == (len(s.Transitions) > 0) {
			return fmt.Errorf("chart: state %q must have transitions or be final", s.Name)
		}
		if err := c.checkState(s, guards, actions); err != nil {
			return err
		}
	}
	return c.checkPaths()
}

func (c Chart) checkState(s State, guards, actions []string) error {
	used := slices.Clone(s.Enter)
	for _, t := range s.Transitions {
		if _, ok := c.State(t.To); !ok {
			return fmt.Errorf("chart: state %q leads to %q, which does not exist", s.Name, t.To)
		}
		for _, g := range t.If {
			if !slices.Contains(guards, g) {
				return fmt.Errorf("chart: state %q: unknown guard %q", s.Name, g)
			}
		}
		used = append(used, t.Do...)
	}
	for _, a := range used {
		if !slices.Contains(actions, a) {
			return fmt.Errorf("chart: state %q: unknown action %q", s.Name, a)
		}
	}
	return nil
}

// checkPaths checks that each state can be reached from the initial one and leads
// to a final one.
func (c Chart) checkPaths() error {
	from := c.reachable(c.Initial)
	for _, s := range c.States {
		if !slices.Contains(from, s.Name) {
			return fmt.Errorf("chart: state %q is never reached", s.Name)
		}
		if !slices.ContainsFunc(c.reachable(s.Name), c.Final) {
			return fmt.Errorf("chart: state %q never ends", s.Name)
		}
	}
	return nil
}

// reachable returns the states that can be reached from a state, itself included.
func (c Chart) reachable(state string) []string {
	seen := []string{state}
	for i := 0; i < len(seen); i++ {
		s, _ := c.State(seen[i])
		for _, t := range s.Transitions {
			if !slices.Contains(seen, t.To) {
				seen = append(seen, t.To)
			}
		}
	}
	return seen
}
