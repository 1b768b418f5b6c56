package member

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"agateward/ward"

	"github.com/tailscale/hujson"
)

//go:embed chart.jsonc
var chartFile []byte

// Status is a state of a peer in the chart.
type Status string

// States that the code uses; the chart file defines their meaning.
const (
	Alive     Status = "alive"
	Suspect   Status = "suspect"
	Silent    Status = "silent"
	Leaving   Status = "leaving"
	forgotten Status = "forgotten"
)

// event is an event of the chart.
type event string

const (
	eventHeard       event = "heard"
	eventAccused     event = "accused"
	eventSaidLeaving event = "said-leaving"
	eventReturned    event = "returned"
)

// contact is how a peer is contacted.
type contact string

const (
	contactExchange contact = "exchange"
	contactProbe    contact = "probe"
	contactNone     contact = "none"
)

// chart is the content of the chart file.
type chart struct {
	Initial Status                 `json:"initial"`
	States  map[Status]*chartState `json:"states"`
}

// chartState is one state of the chart.
type chartState struct {
	Contact contact          `json:"contact"`
	Live    bool             `json:"live"`
	On      map[event]Status `json:"on"`
	After   ward.Duration    `json:"after"`
	Then    Status           `json:"then"`
}

// parseChart reads a chart. It fails when a state leads to an unknown state.
func parseChart(file []byte) (chart, error) {
	var c chart
	plain, err := hujson.Standardize(file)
	if err != nil {
		return c, fmt.Errorf("peer chart: %w", err)
	}
	if err := json.Unmarshal(plain, &c); err != nil {
		return c, fmt.Errorf("peer chart: %w", err)
	}
	for name, s := range c.States {
		targets := []Status{c.Initial, Alive, Suspect, Silent, Leaving, forgotten}
		for _, next := range s.On {
			targets = append(targets, next)
		}
		if s.After > 0 {
			targets = append(targets, s.Then)
		}
		for _, next := range targets {
			if _, ok := c.States[next]; !ok {
				return c, fmt.Errorf("peer chart: state %q leads to unknown state %q", name, next)
			}
		}
	}
	return c, nil
}

// mustChart returns the embedded chart and panics when it is invalid.
func mustChart() chart {
	c, err := parseChart(chartFile)
	if err != nil {
		panic(err)
	}
	return c
}

// step applies an event to a row and reports whether its status changed. An event
// that the state does not list changes nothing.
func (c chart) step(r *row, e event, now time.Time) bool {
	next, ok := r.chart.On[e]
	if !ok || next == r.status {
		return false
	}
	c.enter(r, next, now)
	return true
}

// timeout changes a row whose time in its state is over, and reports whether it
// did.
func (c chart) timeout(r *row, now time.Time) bool {
	if r.chart.After <= 0 || now.Sub(r.statusSince) < r.chart.After.Std() {
		return false
	}
	c.enter(r, r.chart.Then, now)
	return true
}

func (c chart) enter(r *row, s Status, now time.Time) {
	r.status = s
	r.chart = c.States[s]
	r.statusSince = now
}
