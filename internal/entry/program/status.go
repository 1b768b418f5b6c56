package program

import (
	"fmt"

	operators "agateward/internal/operator/surface"
	"agateward/internal/result/code"
	"agateward/ward"
)

// status returns the status of the entry that is shown to operators.
func (p *Program) status() operators.Status {
	state := p.path.State()
	st := operators.Status{
		Entry: p.settings.Name, Fleet: p.settings.Fleet, DataCentre: p.settings.DataCentre, Version: p.version,
		Floor: state.Floor, Waiting: state.Waiting, Running: state.Running,
	}
	if err := p.ready(); err != nil {
		st.NotReady = code.Text(err)
	}
	st.Store = p.storeUsage()
	for _, x := range p.gossip.Peers() {
		st.Peers = append(st.Peers, operators.Peer{
			Name: x.State.Name, Address: x.State.Address, Operator: x.State.Operator, DataCentre: x.State.DataCentre,
			State: string(x.Status), Revision: x.State.Revision, Floor: x.State.Floor, Waiting: x.State.Waiting,
		})
	}
	st.Splits = activeSplits(p.mover.Splits())
	st.Quarantines = p.mover.Quarantines()
	cfg := p.holder.Current()
	if cfg == nil {
		return st
	}
	st.Revision = cfg.Revision
	st.Ticket = cfg.Ticket
	st.Accepted = cfg.Accepted
	for _, u := range state.Upstreams {
		st.Upstreams = append(st.Upstreams, operators.Upstream{
			Name: u.Name, Version: u.Version, Usable: u.Usable, Reason: u.Reason, InFlight: u.InFlight,
			Limit: u.Limit, Share: u.Share, PrefillRate: u.PrefillRate, TokenTime: ward.Duration(u.TokenTime),
			Serves: upstreamConfig(cfg, u.Name).Serves, DataCentre: upstreamConfig(cfg, u.Name).DataCentre,
		})
	}
	return st
}

// upstreamConfig returns the configuration of an upstream.
func upstreamConfig(cfg *ward.Config, name string) ward.Upstream {
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

// activeSplits returns the splits with a next version or a quarantine.
func activeSplits(all []ward.Split) []ward.Split {
	var list []ward.Split
	for _, x := range all {
		if x.Next != "" || len(x.Quarantined) > 0 {
			list = append(list, x)
		}
	}
	return list
}

// storeUsage returns a summary of this entry's calls to the store.
func (p *Program) storeUsage() string {
	var sent, refused uint64
	for _, c := range p.platform.Store().Counts() {
		sent += c.Sent
		refused += c.Refused
	}
	return fmt.Sprintf("%d calls, %d over budget", sent, refused)
}

// ControlUsage is the control traffic of an entry since it started.
type ControlUsage struct {
	// Bytes is the number of bytes sent to and received from other entries.
	Bytes uint64
	// StoreCalls is the number of calls to the platform's store.
	StoreCalls uint64
	// Live is the number of live entries, this one included.
	Live int
}

// ControlUsage returns the control traffic of the entry so far.
func (p *Program) ControlUsage() ControlUsage {
	s := p.gossip.Stats()
	c := ControlUsage{Bytes: s.SentBytes + s.ReceivedBytes, Live: p.gossip.Live()}
	for _, x := range p.platform.Store().Counts() {
		c.StoreCalls += x.Sent
	}
	return c
}
