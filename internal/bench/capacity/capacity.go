// Package capacity estimates the cost of each role of an entry at the expected size
// of the fleet in two years, from costs measured on the real code at three or more
// sizes each.
//
// # Usage
//
//	c := capacity.Capacity{Seed: 1, Progress: progress}
//	err := c.Measure(ctx)
//	fmt.Print(c.Markdown())
//
// A cost is fitted by a straight line over the sizes and evaluated at the size of
// the fleet. A cost per second is the cost of one operation times its rate, which
// follows from the sizes and the intervals in the code.
package capacity

import (
	"context"

	"agateward/internal/bench/fit"
)

// Figure is one cost, measured at several sizes.
type Figure struct {
	Role string
	Name string
	Unit string
	// Axis names the unit of the sizes, Size is where the cost is evaluated.
	Axis   string
	Size   float64
	Points []fit.Point
}

// Line returns the linear fit over the sizes.
func (f Figure) Line() fit.Line { return fit.Of(f.Points) }

// Value returns the cost at Size.
func (f Figure) Value() float64 { return f.Line().At(f.Size) }

// Role is one task of an entry.
type Role struct {
	Name string
	// State, Messages and Mechanism describe the data that it holds, the messages
	// that it sends and how it scales to the size of the fleet.
	State     string
	Messages  string
	Mechanism string
	// Control is set when the role counts against the limits of a node's control
	// work. The request path itself does not.
	Control bool
	// CPU is the share of a core, Memory is in bytes, Bytes are sent and received
	// per second, all for one entry. For a role that one entry of the fleet holds,
	// they are those of the holder.
	CPU    float64
	Memory float64
	Bytes  float64
	// Reads and Writes are calls of the store per second by the whole fleet.
	Reads  float64
	Writes float64
}

// Capacity measures the costs of all roles.
type Capacity struct {
	Seed uint64
	// Progress is called after each measurement. It may be nil.
	Progress func(text string)

	Figures []Figure
	Roles   []Role
	// Notes are remarks that are printed below the limits.
	Notes []string
}

// measurement is the measurement of one role.
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
		{"judge", c.evaluation},
		{"duty holder", c.holder},
		{"run records", c.records},
		{"notification", c.notification},
	} {
		if err := m.run(ctx); err != nil {
			return err
		}
		c.reportProgress(m.name + " measured")
	}
	return nil
}

func (c *Capacity) reportProgress(text string) {
	if c.Progress != nil {
		c.Progress(text)
	}
}

// figure measures a figure at each size, adds it and returns its value.
func (c *Capacity) figure(f Figure, sizes []int, cost func(size int) float64) float64 {
	for _, n := range sizes {
		f.Points = append(f.Points, fit.Point{Size: float64(n), Cost: cost(n)})
	}
	c.Figures = append(c.Figures, f)
	return f.Value()
}

// Control returns the sum of the costs of the control roles, with the store calls of
// all roles.
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
