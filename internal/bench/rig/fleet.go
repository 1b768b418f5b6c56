package rig

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"agateward/internal/config/settings"
	"agateward/ward"
)

// Names of the Tafelberg mix.
const (
	modelName   = "menu-writer"
	serviceName = "booking"
)

// keys of the listeners; they guard nothing but loopback.
const (
	operatorsKey = "rig-operators-key"
	peersKey     = "rig-peers-key-0001"
)

// dataCentres are taken in turn.
var dataCentres = []string{"cape-town-1", "cape-town-2", "cape-town-3"}

// settings returns the settings of an entry on ports of its own.
func (r *Rig) settings(i int, platform string) settings.Settings {
	s := settings.Default()
	s.Name = fmt.Sprintf("entry-%d", i+1)
	s.Fleet = fleetName
	s.DataCentre = dataCentres[i%len(dataCentres)]
	s.Callers.Address = loopback
	s.Operators.Address = loopback
	s.Operators.Key = operatorsKey
	s.Peers.Address = loopback
	s.Peers.Key = peersKey
	s.Platform.Address = platform
	s.Stop.BalancerLag = ward.Duration(4 * balancerEvery)
	s.Telemetry.TraceShare = 0
	if r.Adjust != nil {
		r.Adjust(&s)
	}
	return s
}

// ticket returns the first ticket of the fleet.
func (r *Rig) ticket() ward.Ticket {
	t := ward.Ticket{Number: 1, Operator: "rig", Reason: "first configuration", Routes: routes(), Teams: teams()}
	for i, at := range r.engineAt {
		u := ward.Upstream{
			Name: fmt.Sprintf("menu-writer-%d", i+1), Kind: ward.KindEngine, Serves: modelName, Version: "v1",
			Address: at, DataCentre: dataCentres[i%len(dataCentres)], Generation: 1, ChecksFence: true,
		}
		if i >= r.Engines {
			u.Name = fmt.Sprintf("booking-%d", i-r.Engines+1)
			u.Kind = ward.KindService
			u.Serves = serviceName
			u.Generation = 0
			u.ChecksFence = false
		}
		t.Upstreams = append(t.Upstreams, u)
	}
	return t
}

func routes() []ward.Route {
	seconds := func(n int) ward.Duration { return ward.Duration(time.Duration(n) * time.Second) }
	model := func(name string, tier, highest ward.Tier, deadline, output int) ward.Route {
		return ward.Route{
			Name: name, Kind: ward.KindEngine, Serves: modelName, Version: "v1",
			Tier: tier, MaxTier: highest, Deadline: seconds(deadline), MaxOutput: output,
		}
	}
	call := func(name, method string, deadline int) ward.Route {
		return ward.Route{
			Name: name, Kind: ward.KindService, Serves: serviceName, Version: "v1", Methods: []string{method},
			PathPrefix: "/" + name, Tier: ward.TierTop, Deadline: seconds(deadline),
		}
	}
	deposits := call("deposits", http.MethodPost, 10)
	deposits.NonIdempotent = true
	return []ward.Route{
		model("dietary", 1, 1, 20, 512),
		model("menus", 2, 2, 120, 2048),
		model("letters", 4, 3, 600, 2048),
		call("availability", http.MethodGet, 2),
		deposits,
	}
}

func teams() []ward.Team {
	return []ward.Team{{Name: "guests", Weight: 4}, {Name: "hosts", Weight: 4}, {Name: "letters", Weight: 1, MaxTier: 2}}
}

// balance asks the entries now and then whether they are ready.
func (r *Rig) balance(ctx context.Context) {
	client := &http.Client{Timeout: balancerEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		list := r.askReady(ctx, client)
		r.ready.Store(&list)
		_ = ward.SystemClock{}.Sleep(ctx, balancerEvery)
	}
}

// askReady returns the callers' addresses of the entries that say that they are
// ready.
func (r *Rig) askReady(ctx context.Context, client *http.Client) []string {
	var list []string
	for _, m := range r.members {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.settings.Operators.Address+"/readyz", nil)
		if err != nil {
			continue
		}
		resp, err := client.Do(q)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			list = append(list, m.settings.Callers.Address)
		}
	}
	return list
}

// awaitReady waits until the balancer holds all entries for ready.
func (r *Rig) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); {
		if list := r.ready.Load(); list != nil && len(*list) == r.Entries {
			return nil
		}
		if err := (ward.SystemClock{}).Sleep(ctx, balancerEvery/5); err != nil {
			return err
		}
	}
	return errors.New("the entries are not ready in time")
}
