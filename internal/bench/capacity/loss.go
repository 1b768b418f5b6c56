package capacity

import (
	"fmt"
	"strings"
)

// racks is the number of racks that the nodes and replicas stand in: ten a data
// centre.
const racks = 10 * DataCentres

// loss is something that goes, and what is left of the fleet for one entry.
type loss struct {
	name string
	// nodes and replicas are the shares that are left and seen, demand the share
	// of the requests that they get.
	nodes    float64
	replicas float64
	demand   float64
	text     string
}

// losses are those that the fleet expects. The larger region has four of the
// seven data centres, and keeps its own callers when the link goes.
func losses() []loss {
	const part = 1.0 / racks
	const centre = 1.0 / DataCentres
	const region = 4.0 / DataCentres
	return []loss{
		{"nothing", 1, 1, 1, "-"},
		{"a rack", 1 - part, 1 - part, 1, "waiting requests of its entries are lost, their callers see a broken connection; parts of budgets come back with the peers' silence"},
		{"a data centre", 1 - centre, 1 - centre, 1, "as a rack; the rest carries a sixth more, and floors rise where that is above its capacity"},
		{"the link of the regions, larger side", region, region, region, "both sides go on; budgets of replicas are divided among the entries that are heard; the store is on one side"},
		{"the link of the regions, smaller side", 1 - region, 1 - region, 1 - region, "as the larger side; without the store no ticket, no step of a move and no non-idempotent request"},
	}
}

// writeLosses writes what each loss does to the figures of one entry.
func (c *Capacity) writeLosses(b *strings.Builder) {
	b.WriteString("### What a loss does\n\n| lost | entries | replicas | requests/s an entry | tokens/s a replica | relay, core | core for peers' states | what happens |\n")
	b.WriteString("| --- | ---: | ---: | ---: | ---: | ---: | ---: | --- |\n")
	for _, l := range losses() {
		entries, replicas := Nodes*l.nodes, Replicas*l.replicas
		load := l.demand / l.nodes
		fmt.Fprintf(b, "| %s | %.0f | %.0f | %.1f | %.0f | %s | %s | %s |\n", l.name, entries, replicas,
			Requests*l.demand/entries, Tokens*l.demand/replicas, percent(c.role("request path: relay").CPU*load),
			percent(c.heard(entries)), l.text)
	}
	b.WriteString("\n")
}

// heard returns the share of a core that the states of so many entries take.
func (c *Capacity) heard(entries float64) float64 {
	const microsPerSecond = 1e6
	for _, f := range c.Figures {
		if f.Name == figureHeard {
			return f.Line().At(entries) * peersPerSecond / microsPerSecond
		}
	}
	return 0
}

func (c *Capacity) role(name string) Role {
	for _, r := range c.Roles {
		if r.Name == name {
			return r
		}
	}
	return Role{}
}
