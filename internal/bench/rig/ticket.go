package rig

import (
	"net/http"
	"time"

	"agateward/ward"
)

// Names of the Tafelberg mix.
const (
	modelName   = "menu-writer"
	serviceName = "booking"
	version     = "v1"
)

// ticket returns the first ticket of the fleet.
func (r *Rig) ticket() ward.Ticket {
	return ward.Ticket{
		Number: 1, Operator: "rig", Reason: "first configuration",
		Upstreams: r.upstreams, Routes: routes(), Teams: teams(),
	}
}

func routes() []ward.Route {
	seconds := func(n int) ward.Duration { return ward.Duration(time.Duration(n) * time.Second) }
	model := func(name string, tier, highest ward.Tier, deadline, output int) ward.Route {
		return ward.Route{
			Name: name, Kind: ward.KindEngine, Serves: modelName, Version: version,
			Tier: tier, MaxTier: highest, Deadline: seconds(deadline), MaxOutput: output,
		}
	}
	call := func(name, method string, deadline int) ward.Route {
		return ward.Route{
			Name: name, Kind: ward.KindService, Serves: serviceName, Version: version, Methods: []string{method},
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
