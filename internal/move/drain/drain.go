// Package drain tells which upstreams get no new work since they are leaving.
//
// An upstream leaves by a ticket, by the platform's list, or by its own word in
// a load report. Each is a stop and takes effect at once. The list lags, and an
// upstream that it does not name is no sign of leaving.
//
// # Usage
//
//	var d drain.Drain
//	d.Config(&cfg)
//	d.List(instances)
//	d.Report(report)
//	if reason := d.Leaving("menu-a"); reason != "" {
//		return
//	}
package drain

import "agateward/ward"

// Reasons for which an upstream is leaving.
const (
	ByTicket = "ticket"
	ByList   = "platform list"
	ByReport = "own report"
)

// Drain holds what is known of leaving upstreams. The zero value knows of none.
type Drain struct {
	ticket map[string]bool
	list   map[string]bool
	report map[string]bool
}

// Config takes in a configuration. It replaces what earlier ones said, and
// forgets the upstreams that are no longer in it.
func (d *Drain) Config(c *ward.Config) {
	d.ticket = map[string]bool{}
	known := map[string]bool{}
	for _, u := range c.Upstreams {
		d.ticket[u.Name] = u.Leaving
		known[u.Name] = true
	}
	for name := range d.report {
		if !known[name] {
			delete(d.report, name)
		}
	}
}

// List takes in the platform's list. It replaces what earlier ones said.
func (d *Drain) List(instances []ward.Instance) {
	d.list = map[string]bool{}
	for _, i := range instances {
		if i.Role == ward.RoleUpstream && i.State == ward.InstanceLeaving {
			d.list[i.Name] = true
		}
	}
}

// Report takes in an upstream's load report. Reports come in order; one that no
// longer says leaving is of a new run of the upstream.
func (d *Drain) Report(r ward.LoadReport) {
	if d.report == nil {
		d.report = map[string]bool{}
	}
	d.report[r.Upstream] = r.Leaving
}

// Leaving returns why an upstream is leaving, and "" when it is not.
func (d *Drain) Leaving(upstream string) string {
	switch {
	case d.ticket[upstream]:
		return ByTicket
	case d.list[upstream]:
		return ByList
	case d.report[upstream]:
		return ByReport
	}
	return ""
}
