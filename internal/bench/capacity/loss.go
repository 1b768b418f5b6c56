package capacity

import (
	"fmt"
	"strings"
)

// racks is the number of racks of the fleet, ten per data centre.
const racks = 10 * DataCentres

// loss is the loss of a part of the fleet, and what remains for one entry.
type loss struct {
	name string
	// nodes and replicas are the shares that remain and are reachable, demand is
	// the share of the requests that they receive.
	nodes    float64
	replicas float64
	demand   float64
	text     string
}

// losses returns the losses that the fleet must survive. The larger region has four
// of the seven data centres, and keeps its own callers when the link fails.
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

// writeLosses writes the effect of each loss on the figures of one entry.
func (c *Capacity) writeLosses(b *strings.Builder) {
	b.WriteString("### What a loss does\n\n| lost | entries | replicas | requests/s an entry | tokens/s a replica | relay, core | core for peers' states | what happens |\n")
	b.WriteString("| --- | ---: | ---: | ---: | ---: | ---: | ---: | --- |\n")
	for _, l := range losses() {
		entries, replicas := Nodes*l.nodes, Replicas*l.replicas
		load := l.demand / l.nodes
		fmt.Fprintf(b, "| %s | %.0f | %.0f | %.1f | %.0f | %s | %s | %s |\n", l.name, entries, replicas,
			Requests*l.demand/entries, Tokens*l.demand/replicas, percent(c.role("request path: relay").CPU*load),
			percent(c.peerStateCPU(entries)), l.text)
	}
	b.WriteString("\n")
}

// peerStateCPU returns the share of a core needed to process the states of that many
// entries.
func (c *Capacity) peerStateCPU(entries float64) float64 {
	const microsPerSecond = 1e6
	for _, f := range c.Figures {
		if f.Name == figurePeerStates {
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
