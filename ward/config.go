package ward

import "time"

// Tier is the rank of a request. TierTop is shed last; 0 means not given.
type Tier uint8

// Tiers.
const (
	TierTop    Tier = 1
	TierBottom Tier = 4
	// TierCount is the number of tiers.
	TierCount = 4
)

// UpstreamKind tells a model engine from a plain service.
type UpstreamKind string

// Kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Config is the folded configuration: the whole state that accepted tickets
// have put in force. Lists are sorted by name.
type Config struct {
	// Fleet names the fleet; messages of another fleet are refused.
	Fleet string `json:"fleet"`
	// Revision grows by one with every accepted ticket.
	Revision uint64 `json:"revision"`
	// Ticket is the number of the ticket accepted last, Attempt the id of the
	// submission that was accepted.
	Ticket    uint64     `json:"ticket"`
	Attempt   string     `json:"attempt,omitempty"`
	Accepted  time.Time  `json:"accepted"`
	Upstreams []Upstream `json:"upstreams"`
	Routes    []Route    `json:"routes"`
	Teams     []Team     `json:"teams"`
	Moves     []Move     `json:"moves"`
	// Tombstones keep the ticket number of objects that were removed, so that a
	// lower-numbered ticket cannot bring one back. Numbers up to NumberFloor are
	// refused for any object that is not in the configuration.
	Tombstones  []Tombstone `json:"tombstones,omitempty"`
	NumberFloor uint64      `json:"number-floor,omitempty"`
	// Recent lists the tickets accepted last, the newest first.
	Recent []AcceptedTicket `json:"recent,omitempty"`
}

// Tombstone is the number of the ticket that removed an object.
type Tombstone struct {
	// Kind is "upstream", "route", "team" or "move".
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Ticket uint64 `json:"ticket"`
}

// AcceptedTicket is one line of the index of accepted tickets.
type AcceptedTicket struct {
	Number   uint64    `json:"number"`
	Revision uint64    `json:"revision"`
	Attempt  string    `json:"attempt"`
	Accepted time.Time `json:"accepted"`
	Operator string    `json:"operator,omitempty"`
}

// Upstream is the configuration of one replica of a model or service.
type Upstream struct {
	Name string `json:"name"`
	// Ticket is the number of the ticket that set this object. A ticket file
	// leaves it out.
	Ticket uint64       `json:"ticket,omitempty"`
	Kind   UpstreamKind `json:"kind"`
	// Serves is the model or service that the replica offers.
	Serves  string `json:"serves"`
	Version string `json:"version"`
	// Address is an IP number and port.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	// Generation is the hardware generation, from 1.
	Generation int `json:"generation,omitempty"`
	// ChecksFence says that the upstream refuses orders with an old fencing
	// number.
	ChecksFence bool `json:"checks-fence,omitempty"`
	// ChecksIdempotency says that the upstream itself runs an idempotency key at
	// most once.
	ChecksIdempotency bool `json:"checks-idempotency,omitempty"`
	// Leaving says that the upstream gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Removed takes the object out of the configuration.
	Removed bool `json:"removed,omitempty"`
}

// Route is a class of requests to one model or service: what it serves, at
// which tier and within which time.
type Route struct {
	Name   string       `json:"name"`
	Ticket uint64       `json:"ticket,omitempty"`
	Kind   UpstreamKind `json:"kind"`
	// Serves is the model or service that the route leads to.
	Serves string `json:"serves"`
	// Version is the version that serves the route when no move is under way.
	Version string `json:"version"`
	// Methods and PathPrefix select the calls of a service that belong to the
	// route; empty selects all. The longest prefix goes first.
	Methods    []string `json:"methods,omitempty"`
	PathPrefix string   `json:"path-prefix,omitempty"`
	// Tier is the tier of a request that names none, MaxTier the highest that a
	// request may ask for.
	Tier    Tier `json:"tier"`
	MaxTier Tier `json:"max-tier,omitempty"`
	// Deadline is the time to the last token of a request that names none.
	Deadline Duration `json:"deadline"`
	// FirstToken is the time to the first token that counts as in time.
	FirstToken Duration `json:"first-token,omitempty"`
	// NonIdempotent says that a call may not be repeated: it needs an
	// idempotency key.
	NonIdempotent bool `json:"non-idempotent,omitempty"`
	// MaxOutput bounds the output tokens of one request.
	MaxOutput int  `json:"max-output,omitempty"`
	Removed   bool `json:"removed,omitempty"`
}

// Team is one team of callers and its limits. A zero limit means none.
type Team struct {
	Name   string `json:"name"`
	Ticket uint64 `json:"ticket,omitempty"`
	// Weight is the team's share among teams of a tier; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// TokensPerSecond bounds prompt and output tokens over the fleet.
	TokensPerSecond int `json:"tokens-per-second,omitempty"`
	// InFlight bounds the team's running requests over the fleet.
	InFlight int `json:"in-flight,omitempty"`
	// MaxTier is the highest tier that the team may ask for; 0 means any.
	MaxTier Tier `json:"max-tier,omitempty"`
	// KeyHash is the hex SHA-256 of the team's API key; empty means that the
	// team needs none.
	KeyHash string `json:"key-hash,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// Move takes the traffic of a model or service from one version to another.
type Move struct {
	Name   string `json:"name"`
	Ticket uint64 `json:"ticket,omitempty"`
	// Serves is the model or service that moves; all its routes move together
	// unless Routes names some.
	Serves string   `json:"serves"`
	Routes []string `json:"routes,omitempty"`
	From   string   `json:"from"`
	To     string   `json:"to"`
	// Start is when the first step may be made; zero means at once.
	Start time.Time `json:"start,omitzero"`
	// Deadline is when the whole traffic is on To, or back on From.
	Deadline time.Time `json:"deadline"`
	// Load lists the engines at version To that get an order to load it before
	// the first step.
	Load []string `json:"load,omitempty"`
	// Cancelled asks for the move to be taken back.
	Cancelled bool `json:"cancelled,omitempty"`
	Removed   bool `json:"removed,omitempty"`
}

// Ticket is one numbered change: the whole new state of each object it names.
type Ticket struct {
	Number    uint64     `json:"number"`
	Operator  string     `json:"operator"`
	Reason    string     `json:"reason,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Teams     []Team     `json:"teams,omitempty"`
	Moves     []Move     `json:"moves,omitempty"`
}

// Split is how one route's traffic divides between two versions at one entry.
type Split struct {
	Route string `json:"route"`
	// Version serves what Next does not get. Next is empty when no move is under
	// way.
	Version string `json:"version"`
	Next    string `json:"next,omitempty"`
	Move    string `json:"move,omitempty"`
	// Share is the part of the requests that Next gets, from 0 to 1.
	Share float64 `json:"share,omitempty"`
	// MaxInFlight bounds the requests that this entry may have running on Next;
	// 0 means no bound.
	MaxInFlight int `json:"max-in-flight,omitempty"`
	// Quarantined lists the versions that the route must not use.
	Quarantined []string `json:"braked,omitempty"`
}

// MoveState is the state of a move as the store has accepted it. Entries hand
// it on; a higher Revision replaces a lower one.
type MoveState struct {
	Move   string `json:"move"`
	Ticket uint64 `json:"ticket"`
	// Revision is the store's revision of the move's record.
	Revision uint64 `json:"revision"`
	// State is a state of the move chart, Step the number of steps made.
	State  string    `json:"state"`
	Step   int       `json:"step"`
	Share  float64   `json:"share"`
	Holder string    `json:"holder"`
	Fence  uint64    `json:"fence"`
	Since  time.Time `json:"since"`
	// Begin is when the new version got its first traffic; the steps are planned
	// between it and the deadline.
	Begin  time.Time `json:"begin,omitzero"`
	Reason string    `json:"reason,omitempty"`
	// PendingEvents lists the events that operators were not yet told of.
	PendingEvents []Event `json:"untold,omitempty" msgpack:"Untold"`
	// Orders are the orders of the move that may have been given.
	Orders []OrderRecord `json:"orders,omitempty"`
}

// OrderRecord is what the store knows of one order to an engine.
type OrderRecord struct {
	ID       string `json:"id"`
	Upstream string `json:"upstream"`
	// Fence is the fencing number that the order carries, LastSent when it was
	// last given.
	Fence    uint64    `json:"fence"`
	LastSent time.Time `json:"given" msgpack:"Given"`
	// Executed says that the engine is known to have carried it out.
	Executed bool `json:"taken,omitempty" msgpack:"Taken"`
}
