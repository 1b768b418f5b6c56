package gate

import (
	"slices"

	"agateward/internal/forward/route"
	"agateward/ward"
)

// homes returns the regions whose upstreams may get the request, nil for all: those that
// both its route and its team name.
func (c *call) homes() []string {
	var team []string
	if c.team != nil {
		team = c.team.Homes
	}
	if len(c.route.Homes) == 0 || len(team) == 0 {
		if list := slices.Concat(c.route.Homes, team); len(list) > 0 {
			return list
		}
		return nil
	}
	both := []string{}
	for _, region := range c.route.Homes {
		if slices.Contains(team, region) {
			both = append(both, region)
		}
	}
	return both
}

// mayRelayTo reports whether the body of the request may go to the entry with an address:
// one in its homes, or in the region of this entry, which the caller has reached.
func (c *call) mayRelayTo(address string) bool {
	homes := c.homes()
	if homes == nil {
		return true
	}
	g := c.gate
	dataCentre := ""
	if g.Relay.DataCentre != nil {
		dataCentre = g.Relay.DataCentre(address)
	}
	if dataCentre == "" {
		return false // the list of entries does not name it
	}
	o := &g.sched.Options // not changed after Prepare
	return o.InHomes(homes, dataCentre) || o.Region(dataCentre) == o.Region(g.sched.DataCentre)
}

// logHomes logs, once for each version of the configuration, the routes and teams whose
// homes hold no registered upstream.
func (g *Gate) logHomes(t *route.Table, list []ward.Replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t == nil || len(list) == 0 || g.homesVersion == t.Config.Version {
		return
	}
	g.homesVersion = t.Config.Version
	check := func(kind, name string, homes []string) {
		known := func(r ward.Replica) bool { return g.sched.Options.InHomes(homes, r.DataCentre) }
		if len(homes) > 0 && !slices.ContainsFunc(list, known) {
			g.Log.Info("homes-without-upstream", kind, name, "homes", homes, "version", t.Config.Version)
		}
	}
	for _, r := range t.Config.Routes {
		check("route", r.Name, r.Homes)
	}
	for _, team := range t.Config.Teams {
		check("team", team.Name, team.Homes)
	}
}
