package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"agateward/internal/bench/probe"
	"agateward/internal/bench/synthetic"
	"agateward/internal/ticket/fold"
	"agateward/ward"
)

// configuration measures the costs of the configuration document.
func (c *Capacity) configuration(context.Context) error {
	const role = "configuration"
	const axis = "replicas, teams in proportion"
	millis := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	config := func(n int) ward.Config {
		return synthetic.Fleet{Upstreams: n, Teams: teamsFor(n), Models: Models}.Config()
	}
	document := func(n int) []byte {
		b, err := json.Marshal(config(n))
		if err != nil {
			panic(err)
		}
		return b
	}
	size := c.figure(Figure{Role: role, Name: "document in the store", Unit: "KB", Axis: axis, Size: Replicas}, fleetSizes, func(n int) float64 {
		return float64(len(document(n))) / 1024
	})
	memory := c.figure(Figure{Role: role, Name: "document in memory", Unit: "KB", Axis: axis, Size: Replicas}, fleetSizes, func(n int) float64 {
		return float64(probe.Heap(func() any { v := config(n); return &v })) / 1024
	})
	c.figure(Figure{Role: role, Name: "folding a ticket", Unit: "ms", Axis: axis, Size: Replicas}, fleetSizes, func(n int) float64 {
		base := config(n)
		t := ward.Ticket{Number: 2, Operator: "capacity", Upstreams: []ward.Upstream{base.Upstreams[0]}}
		return millis(probe.Time(func() { _, _ = fold.Fold(base, t, "attempt", time.Time{}) }))
	})
	read := c.figure(Figure{Role: role, Name: "reading the document", Unit: "ms", Axis: axis, Size: Replicas}, fleetSizes, func(n int) float64 {
		b := document(n)
		return millis(probe.Time(func() {
			var v ward.Config
			_ = json.Unmarshal(b, &v)
		}))
	})
	adopt := c.figure(Figure{Role: role, Name: "putting it in force in the request path", Unit: "ms", Axis: axis, Size: Replicas}, fleetSizes, func(n int) float64 {
		d := newDriver(n, teamsFor(n))
		cfg := config(n)
		return millis(probe.Time(func() { d.s.Configure(d.now, &cfg) }))
	})
	perSecond := Changes / secondsPerDay
	c.Roles = append(c.Roles, Role{
		Name:      role,
		State:     fmt.Sprintf("the folded document, %.0f KB in the store", size),
		Messages:  fmt.Sprintf("%.4f changes a second", perSecond),
		Mechanism: "one compare-and-swap a ticket; 3 entries watch the key, the others hear it from peers as a difference and read the key every 5 minutes",
		Control:   true,
		CPU:       (read + adopt) / 1000 * perSecond,
		Memory:    2 * memory * 1024,
		Reads:     watchers/watchWait + watchers*perSecond + Nodes/rereadEvery + Changes/secondsPerDay*3,
		Writes:    3 * perSecond,
	})
	c.Notes = append(c.Notes, fmt.Sprintf("The configuration is %.0f %% of the %d KB that it may have.", 100*size*1024/fold.MaxConfigBytes, fold.MaxConfigBytes/1000))
	return nil
}

// watchers is the number of entries that watch the key in the store. watchWait is the
// time of one watch call and rereadEvery the interval of full reads, in seconds.
const (
	watchers    = 3
	watchWait   = 20.0
	rereadEvery = 300.0
)
