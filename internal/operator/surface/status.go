package surface

import (
	"time"

	"agateward/ward"
)

// Status is the state of an entry, its peers and its upstreams.
type Status struct {
	Entry      string `json:"entry"`
	Fleet      string `json:"fleet"`
	DataCentre string `json:"data-centre"`
	Version    string `json:"version"`
	// NotReady is the reason why the entry doesn't accept requests, empty if it
	// does.
	NotReady  string              `json:"not-ready,omitempty"`
	Revision  uint64              `json:"revision"`
	Ticket    uint64              `json:"ticket"`
	Accepted  time.Time           `json:"accepted,omitzero"`
	Floor     ward.Tier           `json:"floor"`
	Waiting   [ward.TierCount]int `json:"waiting"`
	Running   int                 `json:"running"`
	Store     string              `json:"store"`
	Peers     []Peer              `json:"peers"`
	Upstreams []Upstream          `json:"upstreams"`
	// Splits holds the shares and quarantined versions of routes in a move.
	Splits      []ward.Split      `json:"splits"`
	Quarantines []ward.Quarantine `json:"brakes"`
}

// Peer is another entry as this one sees it.
type Peer struct {
	Name       string              `json:"name"`
	Address    string              `json:"address"`
	Operator   string              `json:"operator"`
	DataCentre string              `json:"data-centre"`
	State      string              `json:"state"`
	Revision   uint64              `json:"revision"`
	Floor      ward.Tier           `json:"floor"`
	Waiting    [ward.TierCount]int `json:"waiting"`
}

// Upstream is an upstream as this entry sees it.
type Upstream struct {
	Name       string `json:"name"`
	Serves     string `json:"serves"`
	Version    string `json:"version"`
	DataCentre string `json:"data-centre"`
	Usable     bool   `json:"usable"`
	// Reason states why it is usable or not.
	Reason      string        `json:"reason"`
	InFlight    int           `json:"in-flight"`
	Limit       float64       `json:"limit"`
	Share       float64       `json:"part"`
	PrefillRate float64       `json:"prefill-tokens-per-second"`
	TokenTime   ward.Duration `json:"token-time"`
}
