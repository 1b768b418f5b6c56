package ward

import "time"

// Tier is the priority of a request. TierTop is shed last; 0 means not given.
type Tier uint8

// Tiers.
const (
	TierTop    Tier = 1
	TierBottom Tier = 4
	// TierCount is the number of tiers.
	TierCount = 4
)

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// Kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Config is the configuration in force: the result of applying all accepted
// tickets in order. Lists are sorted by name.
type Config struct {
	// Fleet is the name of the fleet; messages from another fleet are refused.
	Fleet string `json:"fleet"`
	// Revision increases by one with every accepted ticket.
	Revision uint64 `json:"revision"`
	// Ticket is the number of the last accepted ticket, Attempt the id of the
	// submission that was accepted.
	Ticket    uint64     `json:"ticket"`
	Attempt   string     `json:"attempt,omitempty"`
	Accepted  time.Time  `json:"accepted"`
	Upstreams []Upstream `json:"upstreams"`
	Routes    []Route    `json:"routes"`
	Teams     []Team     `json:"teams"`
	Moves     []Move     `json:"moves"`
	// Tombstones hold the ticket numbers of removed objects, so that a ticket with
	// a lower number cannot restore one. Numbers up to NumberFloor are refused for
	// any object that is not in the configuration.
	Tombstones  []Tombstone `json:"tombstones,omitempty"`
	NumberFloor uint64      `json:"number-floor,omitempty"`
	// Recent lists the last accepted tickets, newest first.
	Recent []AcceptedTicket `json:"recent,omitempty"`
}

// Tombstone records which ticket removed an object.
type Tombstone struct {
	// Kind is "upstream", "route", "team" or "move".
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Ticket uint64 `json:"ticket"`
}

// AcceptedTicket is one row of the index of accepted tickets.
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
	// Ticket is the number of the ticket that set this object. Ticket files omit
	// it.
	Ticket uint64       `json:"ticket,omitempty"`
	Kind   UpstreamKind `json:"kind"`
	// Serves is the model or service that the replica offers.
	Serves  string `json:"serves"`
	Version string `json:"version"`
	// Address is an IP address and port.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	// Generation is the hardware generation, counted from 1.
	Generation int `json:"generation,omitempty"`
	// ChecksFence reports whether the upstream refuses orders with an old fencing
	// number.
	ChecksFence bool `json:"checks-fence,omitempty"`
	// ChecksIdempotency reports whether the upstream itself runs a request with a
	// given idempotency key at most once.
	ChecksIdempotency bool `json:"checks-idempotency,omitempty"`
	// Leaving reports whether the upstream is draining: it gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Removed deletes the object from the configuration.
	Removed bool `json:"removed,omitempty"`
}

// Route is a class of requests to one model or service: what it serves, at
// which tier and within which time.
type Route struct {
	Name   string       `json:"name"`
	Ticket uint64       `json:"ticket,omitempty"`
	Kind   UpstreamKind `json:"kind"`
	// Serves is the model or service that the route sends its requests to.
	Serves string `json:"serves"`
	// Version is the version that serves the route when no move is in progress.
	Version string `json:"version"`
	// Methods and PathPrefix select the calls of a service that belong to the
	// route; empty selects all. The longest matching prefix wins.
	Methods    []string `json:"methods,omitempty"`
	PathPrefix string   `json:"path-prefix,omitempty"`
	// Tier is the tier of a request that does not specify one, MaxTier the highest
	// that a request may ask for.
	Tier    Tier `json:"tier"`
	MaxTier Tier `json:"max-tier,omitempty"`
	// Deadline bounds the time to the last token of a request that does not
	// specify one.
	Deadline Duration `json:"deadline"`
	// FirstToken is the longest time to the first token that counts as in time.
	FirstToken Duration `json:"first-token,omitempty"`
	// NonIdempotent reports whether calls must not be repeated; they then need an
	// idempotency key.
	NonIdempotent bool `json:"non-idempotent,omitempty"`
	// MaxOutput bounds the output tokens of one request.
	MaxOutput int  `json:"max-output,omitempty"`
	Removed   bool `json:"removed,omitempty"`
}

// Team is a team of callers and its limits. A zero limit means no limit.
type Team struct {
	Name   string `json:"name"`
	Ticket uint64 `json:"ticket,omitempty"`
	// Weight is the team's relative share among the teams of a tier; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// TokensPerSecond bounds prompt and output tokens across the fleet.
	TokensPerSecond int `json:"tokens-per-second,omitempty"`
	// InFlight bounds the team's running requests across the fleet.
	InFlight int `json:"in-flight,omitempty"`
	// MaxTier is the highest tier that the team may ask for; 0 means any.
	MaxTier Tier `json:"max-tier,omitempty"`
	// KeyHash is the SHA-256 of the team's API key in hex; empty means that the
	// team needs no key.
	KeyHash string `json:"key-hash,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// Move shifts the traffic of a model or service from one version to another.
type Move struct {
	Name   string `json:"name"`
	Ticket uint64 `json:"ticket,omitempty"`
	// Serves is the model or service that is moved. Routes limits the move to some
	// of its routes; empty means all of them.
	Serves string   `json:"serves"`
	Routes []string `json:"routes,omitempty"`
	From   string   `json:"from"`
	To     string   `json:"to"`
	// Evaluated lists the routes that are evaluated separately, if an entry chooses them
	// by its own requests. All entries use the list of the one that begins the move.
	Evaluated []string `json:"evaluated,omitempty"`
	// Start is the earliest time of the first step; zero means immediately.
	Start time.Time `json:"start,omitzero"`
	// Deadline is when all traffic must be on To, or back on From.
	Deadline time.Time `json:"deadline"`
	// Load lists the engines of version To that are ordered to load it before the
	// first step.
	Load []string `json:"load,omitempty"`
	// Cancelled asks for the move to be rolled back.
	Cancelled bool `json:"cancelled,omitempty"`
	Removed   bool `json:"removed,omitempty"`
}

// Ticket is one numbered change. It holds the complete new state of each object
// that it changes.
type Ticket struct {
	Number    uint64     `json:"number"`
	Operator  string     `json:"operator"`
	Reason    string     `json:"reason,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Teams     []Team     `json:"teams,omitempty"`
	Moves     []Move     `json:"moves,omitempty"`
}

// Split describes how one entry divides a route's traffic between two versions.
type Split struct {
	Route string `json:"route"`
	// Version serves the requests that Next does not get. Next is empty when no
	// move is in progress.
	Version string `json:"version"`
	Next    string `json:"next,omitempty"`
	Move    string `json:"move,omitempty"`
	// Share is the fraction of the requests that Next gets, from 0 to 1.
	Share float64 `json:"share,omitempty"`
	// MaxInFlight bounds the requests that this entry may have running on Next;
	// 0 means no limit.
	MaxInFlight int `json:"max-in-flight,omitempty"`
	// Quarantined lists the versions that must get no new work on the route.
	Quarantined []string `json:"braked,omitempty"`
}

// MoveState is the state of a move as accepted by the store. Entries pass it on
// to each other; a higher Revision replaces a lower one. The msgpack names, here
// and in OrderRecord, are the message format between entries and must stay.
type MoveState struct {
	Move   string `json:"move"`
	Ticket uint64 `json:"ticket"`
	// To is the version that the ticket moves to, From the one that was in use when the run
	// began, "" in records of builds that did not write it.
	To   string `json:"to,omitempty" msgpack:",omitempty"`
	From string `json:"from,omitempty" msgpack:",omitempty"`
	// Rejected lists the versions that earlier runs had not accepted and that were registered
	// when this one began.
	Rejected []string `json:"rejected,omitempty" msgpack:",omitempty"`
	// Revision is the store's revision of the move's record.
	Revision uint64 `json:"revision"`
	// State is a state of the move's state chart, Step the number of completed
	// steps.
	State  string    `json:"state"`
	Step   int       `json:"step"`
	Share  float64   `json:"share"`
	Holder string    `json:"holder"`
	Fence  uint64    `json:"fence"`
	Since  time.Time `json:"since"`
	// Begin is when the new version got its first traffic. The steps are spread
	// over the time from Begin to the deadline.
	Begin time.Time `json:"begin,omitzero"`
	// Evaluated is Move.Evaluated of the entry that began the run.
	Evaluated []string `json:"evaluated,omitempty" msgpack:",omitempty"`
	// Approved is set once the evidence speaks for the new version. Until then it stays
	// at an unproven version's share.
	Approved bool `json:"approved,omitempty" msgpack:",omitempty"`
	// Counts are the counts that the holder knew when it wrote the record, so that entries
	// that start later have the evidence. Peers exchange counts without it.
	Counts []Counts `json:"counts,omitempty" msgpack:"-"`
	// Expected are the times that the holder expected of the old version's answers then.
	Expected []ExpectedTime `json:"expected,omitempty" msgpack:"-"`
	Reason   string         `json:"reason,omitempty"`
	// PendingEvents lists the events that have not been sent to operators yet.
	PendingEvents []Event `json:"untold,omitempty" msgpack:"Untold"`
	// Orders lists the orders of the move that may have been sent.
	Orders []OrderRecord `json:"orders,omitempty"`
}

// ExpectedTime is the time that answers of a version in use take by the sizes of their requests: the
// state of a least-squares fit, whose coefficients follow from it.
type ExpectedTime struct {
	// Sizing names the requests, as Outcome.Sizing or Outcome.Route does.
	Sizing string `json:"sizing"`
	// Weight is the decayed number of answers, A and B are the normal equations.
	Weight float64       `json:"weight"`
	A      [3][3]float64 `json:"a"`
	B      [3]float64    `json:"b"`
}

// OrderRecord is the store's record of one order to an engine.
type OrderRecord struct {
	ID       string `json:"id"`
	Upstream string `json:"upstream"`
	// Fence is the fencing number of the order, LastSent the time when it was last
	// sent.
	Fence    uint64    `json:"fence"`
	LastSent time.Time `json:"given" msgpack:"Given"`
	// Executed reports whether the engine is known to have executed the order.
	Executed bool `json:"taken,omitempty" msgpack:"Taken"`
}
