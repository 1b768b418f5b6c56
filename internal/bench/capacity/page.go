package capacity

import (
	"fmt"
	"strings"
)

// Markdown returns the tables of the capacity page.
func (c *Capacity) Markdown() string {
	var b strings.Builder
	c.writeRoles(&b)
	c.writeLimits(&b)
	c.writeFigures(&b)
	c.writeLosses(&b)
	return b.String()
}

// writeRoles writes a table with one row per role.
func (c *Capacity) writeRoles(b *strings.Builder) {
	b.WriteString("### Each role at that size\n\n")
	b.WriteString("Processor time, memory and bytes are those of one entry; calls of the store are those of the whole fleet.\n\n")
	b.WriteString("| role | state | messages | core | memory | bytes/s | store reads/s | store writes/s | carried by |\n")
	b.WriteString("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | --- |\n")
	for _, r := range append(append([]Role(nil), c.Roles...), c.Control()) {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Name, r.State, r.Messages,
			percent(r.CPU), size(r.Memory), size(r.Bytes), calls(r.Reads), calls(r.Writes), r.Mechanism)
	}
	b.WriteString("\n")
}

// limit is a limit and the value that is compared with it.
type limit struct {
	name  string
	value float64
	bound float64
	text  func(float64) string
}

func (c *Capacity) limits() []limit {
	sum := c.Control()
	return []limit{
		{"processor time for control, of a core", sum.CPU, LimitCPU, percent},
		{"memory for control", sum.Memory, LimitMemory, size},
		{"bytes a second for control", sum.Bytes, LimitBytes, size},
		{"writes of the store a second", sum.Writes, LimitWrites, calls},
		{"reads of the store a second", sum.Reads, LimitReads, calls},
		{"time until a change is in force everywhere", c.InForce(), InForce.Seconds(), seconds},
	}
}

// writeLimits writes the sums beside their limits, and the notes.
func (c *Capacity) writeLimits(b *strings.Builder) {
	b.WriteString("### Against the limits\n\n| limit | needed | allowed | met |\n| --- | ---: | ---: | --- |\n")
	for _, l := range c.limits() {
		met := "yes"
		if l.value > l.bound {
			met = "**no**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", l.name, l.text(l.value), l.text(l.bound), met)
	}
	b.WriteString("\n")
	for _, n := range c.Notes {
		fmt.Fprintf(b, "- %s\n", n)
	}
	if len(c.Notes) > 0 {
		b.WriteString("\n")
	}
}

// writeFigures writes a table of the measured costs and their fits.
func (c *Capacity) writeFigures(b *strings.Builder) {
	b.WriteString("### Measured costs\n\n| role | cost | over | measured (size: cost) | fit | R² | at size |\n| --- | --- | --- | --- | --- | ---: | ---: |\n")
	for _, f := range c.Figures {
		var points []string
		for _, p := range f.Points {
			points = append(points, fmt.Sprintf("%.3g: %.3g", p.Size, p.Cost))
		}
		l := f.Line()
		at := ""
		if f.Size > 1 {
			at = fmt.Sprintf("%.3g %s at %.4g", f.Value(), f.Unit, f.Size)
		}
		fmt.Fprintf(b, "| %s | %s, %s | %s | %s | %.3g + %.3g·n | %.2f | %s |\n",
			f.Role, f.Name, f.Unit, f.Axis, strings.Join(points, ", "), l.Intercept, l.Slope, l.R2, at)
	}
	b.WriteString("\n")
}

func percent(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g %%", 100*v)
}

func size(v float64) string {
	switch {
	case v == 0:
		return "-"
	case v >= 1<<20:
		return fmt.Sprintf("%.3g MB", v/(1<<20))
	case v >= 1<<10:
		return fmt.Sprintf("%.3g KB", v/(1<<10))
	}
	return fmt.Sprintf("%.3g B", v)
}

func seconds(v float64) string { return fmt.Sprintf("%.2g s", v) }

func calls(v float64) string {
	if v == 0 {
		return "-"
	}
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
