// Package static provides the configuration and the upstreams of the forwarding
// surface from a file, for fleets that run without the users' platform.
//
// # Usage
//
//	src, err := static.Load("routes.jsonc")
//	n := node.New(settings, node.Parts{Source: src.Feed(), Dialect: dialect.Native{}, Log: l})
//
// The file is JSON with comments and is read once. An error names all its faults.
package static

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"agateward/internal/config/settings"
	"agateward/internal/config/strict"
	"agateward/internal/result/code"
	"agateward/ward"
)

// Replica is an upstream of the file.
type Replica struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Version    string `json:"version"`
	DataCentre string `json:"data-centre"`
	// Address is an IP address and port.
	Address string `json:"address"`
	// Slots is the number of requests that it processes at once.
	Slots int `json:"slots"`
}

// Source is the content of a file: the configuration and the upstreams.
type Source struct {
	ward.Forwarding
	Upstreams []Replica
}

// Load reads and checks a file.
func Load(file string) (*Source, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, code.SettingsInvalid.Wrap(err, "read the routes")
	}
	return Parse(file, b)
}

// Parse checks the content of a file.
func Parse(file string, b []byte) (*Source, error) {
	var in struct {
		Version  uint64                `json:"version"`
		Routes   []ward.ForwardRoute   `json:"routes"`
		Services []ward.ForwardService `json:"services"`
		Teams    []ward.ForwardTeam    `json:"teams"`
		Limits   ward.ForwardLimits    `json:"limits"`
		Replicas []Replica             `json:"upstreams"`
	}
	doc, faults := strict.Decode(file, b, &in)
	s := &Source{Upstreams: in.Replicas}
	s.Forwarding = ward.Forwarding{Version: in.Version, Routes: in.Routes, Services: in.Services, Teams: in.Teams, Limits: in.Limits}
	if len(faults) == 0 {
		faults = s.check(doc)
	}
	if len(faults) > 0 {
		return nil, settings.Error(faults)
	}
	return s, nil
}

func (s *Source) check(doc *strict.Document) []strict.Fault {
	var faults []strict.Fault
	fault := func(bad bool, key, format string, args ...any) {
		if bad {
			faults = append(faults, doc.Fault(key, format, args...))
		}
	}
	fault(s.Version == 0, "version", "is missing; it starts at 1")
	fault(len(s.Routes) == 0, "routes", "is empty")
	services := make(map[string]bool)
	for i, v := range s.Services {
		services[v.Name] = true
		key := fmt.Sprintf("services[%d]", i)
		fault(v.ColdTime < 0, key+".cold-time", "%v is below 0", v.ColdTime)
		fault(v.ColdRate < 0, key+".cold-rate", "%v is below 0", v.ColdRate)
	}
	for i, r := range s.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		fault(!strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"), key+".prefix", "%q does not begin and end with a slash", r.Prefix)
		known := r.Kind == ward.ForwardSafe || r.Kind == ward.ForwardUnsafe || r.Kind == ward.ForwardStream
		fault(!known, key+".kind", "%q: allowed are safe, unsafe and stream", r.Kind)
		fault(len(r.Split) == 0, key+".split", "names no service")
		for _, share := range r.Split {
			fault(!services[share.Service], key+".split", "service %q is not in the list of services", share.Service)
			fault(share.Weight < 0, key+".split", "weight %d is below 0", share.Weight)
		}
	}
	for i, u := range s.Upstreams {
		key := fmt.Sprintf("upstreams[%d]", i)
		_, err := netip.ParseAddrPort(u.Address)
		fault(err != nil, key+".address", "%q is not an IP number and port", u.Address)
		fault(u.ID == "", key+".id", "is missing")
		fault(u.Slots < 1, key+".slots", "is below 1")
		fault(!services[u.Service], key+".service", "service %q is not in the list of services", u.Service)
	}
	return faults
}

// config returns the configuration with its defaults.
func (s *Source) config() ward.Forwarding {
	f := s.Forwarding
	f.Routes = append([]ward.ForwardRoute(nil), f.Routes...)
	for i := range f.Routes {
		f.Routes[i].Attempts = max(f.Routes[i].Attempts, 1)
	}
	return f
}

// Feed returns a ward.ForwardSource with the content of the file, which never
// changes.
func (s *Source) Feed() ward.ForwardSource { return feed{s} }

// revision is the only revision of a file.
const revision = 1

type feed struct{ s *Source }

func (f feed) Orders(context.Context) (ward.Orders, uint64, error) {
	return ward.Orders{Forwarding: f.s.config()}, revision, nil
}

func (f feed) WatchOrders(ctx context.Context, rev uint64, wait time.Duration) (ward.Orders, uint64, error) {
	return ward.Orders{}, rev, pause(ctx, wait)
}

func (f feed) Replicas(context.Context) ([]ward.Registration, uint64, error) {
	var list []ward.Registration
	for _, u := range f.s.Upstreams {
		list = append(list, ward.Registration{Revision: revision, Replica: ward.Replica{
			ID: u.ID, Service: u.Service, Version: u.Version, DataCentre: u.DataCentre, Address: u.Address, Slots: u.Slots,
		}})
	}
	return list, revision, nil
}

func (f feed) WatchReplicas(ctx context.Context, rev uint64, wait time.Duration) ([]ward.Registration, uint64, error) {
	return nil, rev, pause(ctx, wait)
}

func (f feed) Announce(context.Context, ward.ForwardEntry) error { return nil }

func (f feed) Records() ward.Store { return nil }

func (f feed) Report(context.Context, ward.RolloutStatus) error { return nil }

func (f feed) Entries(context.Context) ([]ward.ForwardEntry, error) { return nil, nil }

func pause(ctx context.Context, d time.Duration) error {
	return ward.SystemClock{}.Sleep(ctx, d)
}
