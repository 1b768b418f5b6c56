// Package capacity works out what each role costs at the size that the fleet is
// expected to have in two years, from costs that it measures on the real code at
// three or more sizes each.
//
// # Usage
//
//	c := capacity.Capacity{Seed: 1, Progress: progress}
//	err := c.Measure(ctx)
//	fmt.Print(c.Markdown())
//
// A cost is fitted by a straight line over the sizes and read at the size of the
// fleet. Costs a second are the product of a cost a time and of how often it
// comes, which the sizes and the intervals of the code give.
package capacity

import (
	"context"

	"agateward/internal/bench/fit"
)

// Figure is one cost, measured over sizes.
type Figure struct {
	Role string
	Name string
	Unit string
	// Axis names what the sizes count, Size is where the cost is read.
	Axis   string
	Size   float64
	Points []fit.Point
}

// Line returns the fit over the sizes.
func (f Figure) Line() fit.Line { return fit.Of(f.Points) }

// Value returns the cost at the size of the fleet.
func (f Figure) Value() float64 { return f.Line().At(f.Size) }

// Role is one thing that an entry does.
type Role struct {
	Name string
	// State, Messages and Mechanism say what it holds, what it sends and what
	// carries it at the size of the fleet.
	State     string
	Messages  string
	Mechanism string
	// Control says that the role counts against the limits of a node's control;
	// the request path itself does not.
	Control bool
	// CPU is the share of a core, Memory in bytes, Bytes sent and received a
	// second, all of one entry. A holder's share of a duty is that of the one
	// entry that holds it.
	CPU    float64
	Memory float64
	Bytes  float64
	// Reads and Writes are calls of the store a second by the whole fleet.
	Reads  float64
	Writes float64
}

// Capacity measures the roles.
type Capacity struct {
	Seed uint64
	// Progress is told what is done.
	Progress func(text string)

	Figures []Figure
	Roles   []Role
	// Notes are findings that a figure alone does not show.
	Notes []string
}

// measurement is one role's measurement.
type measurement struct {
	name string
	run  func(ctx context.Context) error
}

// Measure measures all roles.
func (c *Capacity) Measure(ctx context.Context) error {
	for _, m := range []measurement{
		{"request path", c.requests},
		{"relay", c.relay},
		{"upstream reports", c.reports},
		{"peer exchange", c.peerExchange},
		{"configuration", c.configuration},
		{"judge", c.judge},
		{"duty holder", c.duties},
		{"run records", c.records},
		{"notification", c.notification},
	} {
		if err := m.run(ctx); err != nil {
			return err
		}
		c.tell(m.name + " measured")
	}
	return nil
}

func (c *Capacity) tell(text string) {
	if c.Progress != nil {
		c.Progress(text)
	}
}

// figure adds a figure that is measured at each size, and returns its cost at
// the size of the fleet.
func (c *Capacity) figure(f Figure, sizes []int, cost func(size int) float64) float64 {
	for _, n := range sizes {
		f.Points = append(f.Points, fit.Point{Size: float64(n), Cost: cost(n)})
	}
	c.Figures = append(c.Figures, f)
	return f.Value()
}

// Control returns the sum over the roles of a node's control, and the sum of the
// store's calls over all roles.
func (c *Capacity) Control() Role {
	sum := Role{Name: "control of a node, sum"}
	for _, r := range c.Roles {
		sum.Reads += r.Reads
		sum.Writes += r.Writes
		if r.Control {
			sum.CPU += r.CPU
			sum.Memory += r.Memory
			sum.Bytes += r.Bytes
		}
	}
	return sum
}

// InForce returns the time in seconds until a change is in force at every entry
// of the fleet.
func (c *Capacity) InForce() float64 {
	for _, f := range c.Figures {
		if f.Name == figureInForce {
			return f.Value()
		}
	}
	return 0
}
