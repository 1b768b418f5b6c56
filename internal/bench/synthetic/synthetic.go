// Package synthetic makes configurations of a given size for measurements.
//
// # Usage
//
//	cfg := synthetic.Fleet{Upstreams: 750, Teams: 2900, Models: 4}.Config()
package synthetic

import (
	"fmt"
	"time"

	"agateward/ward"
)

// Version is the version in force, Next the target version of moves.
const (
	Version = "v1"
	Next    = "v2"
)

// generations and dataCentres are assigned to upstreams in turn.
const (
	generations = 4
	dataCentres = 7
)

// Fleet is the size of a configuration.
type Fleet struct {
	Upstreams int
	Teams     int
	Models    int
	// Moves is the number of moves in progress, at most one per model.
	Moves int
}

// Model returns the name of the model with index i.
func Model(i int) string { return fmt.Sprintf("model-%d", i) }

// Route returns the name of a model's route at a tier.
func Route(model int, tier ward.Tier) string { return fmt.Sprintf("%s-tier-%d", Model(model), tier) }

// Team returns the name of the team with index i.
func Team(i int) string { return fmt.Sprintf("team-%04d", i) }

// Config returns a configuration of this size.
func (f Fleet) Config() ward.Config {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := ward.Config{Fleet: "capacity", Revision: 1, Ticket: 1, Attempt: "00000000-0000-0000-0000-000000000000", Accepted: at}
	for i := range f.Upstreams {
		c.Upstreams = append(c.Upstreams, f.upstream(i))
	}
	for m := range f.Models {
		for tier := ward.TierTop; tier <= ward.TierBottom; tier++ {
			c.Routes = append(c.Routes, ward.Route{
				Name: Route(m, tier), Ticket: 1, Kind: ward.KindEngine, Serves: Model(m), Version: Version,
				Tier: tier, Deadline: ward.Duration(time.Minute), FirstToken: ward.Duration(580 * time.Millisecond), MaxOutput: 2048,
			})
		}
	}
	for i := range f.Teams {
		c.Teams = append(c.Teams, ward.Team{Name: Team(i), Ticket: 1, Weight: 1 + i%4, TokensPerSecond: 5000})
	}
	for m := range min(f.Moves, f.Models) {
		c.Moves = append(c.Moves, ward.Move{
			Name: fmt.Sprintf("move-%d", m), Ticket: 1, Serves: Model(m), From: Version, To: Next,
			Start: at, Deadline: at.Add(time.Hour),
		})
	}
	return c
}

// upstream returns the upstream with index i. Of a model that is being moved, every
// second upstream serves the next version.
func (f Fleet) upstream(i int) ward.Upstream {
	model := i % max(f.Models, 1)
	version := Version
	if model < f.Moves && i/max(f.Models, 1)%2 == 1 {
		version = Next
	}
	return ward.Upstream{
		Name: fmt.Sprintf("engine-%04d", i), Ticket: 1, Kind: ward.KindEngine, Serves: Model(model), Version: version,
		Address:    fmt.Sprintf("10.%d.%d.%d:9100", i%dataCentres, i/250, 1+i%250),
		DataCentre: fmt.Sprintf("data-centre-%d", 1+i%dataCentres), Generation: 1 + i%generations, ChecksFence: i%2 == 0,
	}
}
