package program

import (
	operators "agateward/internal/operator/surface"
	"agateward/internal/result/code"
	"agateward/ward"
)

// status returns what the entry says of itself.
func (p *Program) status() operators.Status {
	state := p.path.State()
	st := operators.Status{
		Entry: p.settings.Name, Fleet: p.settings.Fleet, DataCentre: p.settings.DataCentre, Version: p.version,
		Floor: state.Floor, Waiting: state.Waiting, Running: state.Running,
	}
	if err := p.ready(); err != nil {
		st.NotReady = code.Text(err)
	}
	cfg := p.holder.Current()
	if cfg == nil {
		return st
	}
	st.Revision = cfg.Revision
	st.Ticket = cfg.Ticket
	st.Accepted = cfg.Accepted
	for _, u := range state.Upstreams {
		st.Upstreams = append(st.Upstreams, operators.Replica{
			Name: u.Name, Version: u.Version, Usable: u.Usable, Reason: u.Reason, InFlight: u.InFlight,
			Limit: u.Limit, Part: u.Part, PrefillRate: u.PrefillRate, TokenTime: ward.Duration(u.TokenTime),
			Serves: configured(cfg, u.Name).Serves, DataCentre: configured(cfg, u.Name).DataCentre,
		})
	}
	return st
}

// configured returns the configuration of an upstream.
func configured(cfg *ward.Config, name string) ward.Upstream {
	for _, u := range cfg.Upstreams {
		if u.Name == name {
			return u
		}
	}
	return ward.Upstream{}
}

// Revision returns the revision of the configuration in force, 0 while there is
// none.
func (p *Program) Revision() uint64 {
	cfg := p.holder.Current()
	if cfg == nil {
		return 0
	}
	return cfg.Revision
}
