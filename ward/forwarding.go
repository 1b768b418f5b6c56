package ward

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ForwardKind determines whether requests of a route of the forwarding surface may
// be repeated.
type ForwardKind string

// Kinds of route.
const (
	// ForwardSafe requests may run more than once.
	ForwardSafe ForwardKind = "safe"
	// ForwardUnsafe requests run at most once.
	ForwardUnsafe ForwardKind = "unsafe"
	// ForwardStream requests get a stream of events as their answer. They run at
	// most once, unless the route is resumable.
	ForwardStream ForwardKind = "stream"
)

// Forwarding is the configuration of the forwarding surface.
type Forwarding struct {
	// Version increases with every change, not necessarily by one.
	Version uint64 `json:"version"`
	// Routes, Services and Teams are complete lists.
	Routes   []ForwardRoute   `json:"routes"`
	Services []ForwardService `json:"services"`
	Teams    []ForwardTeam    `json:"teams"`
	Limits   ForwardLimits    `json:"limits"`
}

// ForwardRoute sends the requests of a host and path prefix to services.
type ForwardRoute struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The route with the longest prefix that
	// matches the path is selected.
	Prefix string      `json:"prefix"`
	Kind   ForwardKind `json:"kind"`
	// Timeout bounds the time from the arrival of a request to the last byte of its
	// answer; 0 means no limit.
	Timeout Duration `json:"timeout"`
	// Target is the highest latency that counts as in time: of the answer, or of
	// the first event of a stream.
	Target Duration `json:"target-latency"`
	// MaxGap is the longest pause between two events that counts as in time.
	MaxGap Duration `json:"max-gap"`
	// Rank is the priority of waiting requests; 0 is served first.
	Rank int `json:"rank"`
	// Split divides the requests between services by weight.
	Split []ForwardShare `json:"split"`
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int `json:"attempts"`
	// Public reports whether requests need no key.
	Public bool `json:"public"`
	// Resumable reports whether another upstream may continue a stream after an
	// event.
	Resumable bool `json:"resumable"`
	// Homes are the regions whose upstreams may get the requests, empty for all.
	Homes []string `json:"homes"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *ForwardRoute) Repeatable() bool {
	return r.Kind == ForwardSafe || r.Kind == ForwardStream && r.Resumable
}

// ForwardShare is the weight of one service among those of a route.
type ForwardShare struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ForwardService is a group of upstreams that can serve the same requests.
type ForwardService struct {
	Name string `json:"name"`
	// MaxConnections bounds the connections that one upstream accepts from all
	// entries together; 0 means no limit.
	MaxConnections int `json:"max-connections"`
	// Engine reports whether the upstreams are model engines. Stride is the number
	// of tokens in one event of their streams, 0 when it is not known.
	Engine bool `json:"engine"`
	Stride int  `json:"stride"`
	// ColdTime is how long an upstream is cold after its start, and ColdRate the number of
	// requests a second that it takes well while cold, from all entries together. With a
	// ColdRate of 0 no upstream of the service counts as cold.
	ColdTime Duration `json:"cold-time"`
	ColdRate float64  `json:"cold-rate"`
}

// ForwardTeam is a team of callers on the forwarding surface.
type ForwardTeam struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Rank is compared before the rank of the route. HasRank reports whether it is
	// given.
	Rank    int  `json:"rank"`
	HasRank bool `json:"has-rank"`
	// Rate and Burst are the team's quota across all entries, in units per second
	// and in units; 0 means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Tokens reports whether the unit is the token. PlainTokens is then the size of
	// a request that does not specify one.
	Tokens      bool    `json:"tokens"`
	PlainTokens float64 `json:"plain-tokens"`
	// Homes are the regions whose upstreams may get the team's requests, empty for all.
	// Where the route has homes as well, both bind.
	Homes []string `json:"homes"`
}

// ForwardLimits are the limits on what a caller may send.
type ForwardLimits struct {
	// MaxHeader and MaxBody are in bytes; 0 means the defaults of the settings.
	MaxHeader int `json:"max-header"`
	MaxBody   int `json:"max-body"`
	// HeaderTimeout bounds the time to read a request's head, IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout Duration `json:"header-timeout"`
	IdleTimeout   Duration `json:"idle-timeout"`
}

// Replica is one registered upstream of the forwarding surface.
type Replica struct {
	// ID identifies the upstream; a restarted process may keep it.
	ID string
	// Born distinguishes two processes with the same ID; 0 means not known.
	Born int64
	// Service is the service that the upstream belongs to, Version the version of
	// its software, DataCentre its location.
	Service    string
	Version    string
	DataCentre string
	// Address is an IP address and port. Another upstream may get it later.
	Address string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Draining reports whether it is excluded from new requests.
	Draining bool
	// Evacuated reports whether it is excluded as its data centre is evacuated.
	Evacuated bool
	// ColdFor is how long it is still cold, by its registration.
	ColdFor time.Duration `msgpack:",omitempty"`
	// ColdTime and ColdRate are those of its service. They are not part of the
	// registration.
	ColdTime time.Duration `msgpack:"-"`
	ColdRate float64       `msgpack:"-"`
}

// ForwardHead is the content of the head of a caller's request, independent of the
// names of the header fields.
type ForwardHead struct {
	// ID is the id of the request; each attempt of a caller has its own.
	ID string
	// Key is the team's API key.
	Key string
	// Timeout is how long the caller waits; 0 means not given.
	Timeout time.Duration
	// PromptTokens and MaxOutput are the sizes of a model request in tokens;
	// HasTokens reports whether they are given. OutputHint is the caller's estimate of the output
	// tokens; 0 means not given.
	PromptTokens int
	MaxOutput    int
	HasTokens    bool
	OutputHint   int
	// Parts lists the parts of the prompt that other requests may share, in order: all
	// but the last.
	Parts []PromptPart
	// Prompt is the list of all parts of the prompt as the caller sent it, "" for none.
	Prompt string
	// LastEvent is the id of the last event that the caller has received, -1 for
	// none.
	LastEvent int64
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// ForwardHop is what an entry sends to an upstream about a request in header
// fields.
type ForwardHop struct {
	// Replica is the expected ID of the upstream.
	Replica string
	Team    string
	// Parts lists the parts of the prompt that other requests may share. An entry does not
	// set it: the caller's field is passed on.
	Parts []PromptPart
	// Remaining is the time left until the caller's deadline; 0 means no limit.
	Remaining time.Duration
	// LastEvent is the event after which a stream continues, -1 for its start.
	LastEvent int64
}

// ForwardReply is the content of the head of an upstream's answer.
type ForwardReply struct {
	// ID is the id of the answered request.
	ID string
	// Signed reports whether the answer carries the upstream's confirmation that it
	// produced it, such as a signature.
	Signed bool
	// NotRun reports whether the upstream states that it did not run the request
	// and never will.
	NotRun bool
	// Leaving reports whether the upstream states that it leaves: it wants no new
	// requests.
	Leaving bool
	// HasRetryAfter reports whether the upstream turned the request away and asked for
	// a pause of RetryAfter, in which it wants no requests. RetryAfterFault is the
	// value that it stated if RetryAfter is a bound instead, "" otherwise.
	HasRetryAfter   bool
	RetryAfter      time.Duration
	RetryAfterFault string
	// Limit is what the answer says of the rate at which the upstream takes requests.
	Limit RateLimit
	// Brittle reports whether the answer says that the upstreams of the service are
	// brittle: one that has to reject too many requests in a second for want of room falls
	// over. BrittleValue is the number as it was stated, at most some bytes of it.
	Brittle      bool
	BrittleValue string
}

// RateLimit is what one answer of an upstream says of the rate at which it takes
// requests. Its zero value says that there is no limit.
type RateLimit struct {
	// Limited reports whether the upstream takes only PerSecond requests a second from
	// all entries together.
	Limited   bool
	PerSecond float64
	// Unknown reports whether the answer names a rate that cannot be read: it neither
	// sets nor ends a limit. Fault is a stated value that was not used, "" for none.
	Unknown bool
	Fault   string
}

// Dialect translates the heads of requests and answers between the header fields
// that a deployment uses and the structs of the forwarding surface.
type Dialect interface {
	// Head reads the head of a caller's request.
	Head(h http.Header) (ForwardHead, error)
	// Outgoing returns the header fields of the request to the upstream.
	Outgoing(h http.Header, hop ForwardHop) http.Header
	// Reply reads the head of an upstream's answer.
	Reply(status int, h http.Header) ForwardReply
	// RequestID returns the name of the header field that holds the id of a request
	// and its answer.
	RequestID() string
	// RetryAfter returns the value of a Retry-After field.
	RetryAfter(d time.Duration) string
}

// Registration is one change to the registered upstreams.
type Registration struct {
	Replica Replica
	// Revision is the store's revision of the change.
	Revision uint64
	// Removed reports whether the registration was deleted.
	Removed bool
	// Fault is the reason why a registration cannot be used; only the ID is known
	// then.
	Fault string
	// Note names a value of a usable registration that is read as another one, "" for
	// none.
	Note string
}

// Orders holds the configuration, the roll-outs and the evacuations that the operator has
// ordered.
// Forwarding has Version 0 if there is no configuration.
type Orders struct {
	Forwarding Forwarding
	Rollouts   []Rollout
	// Evacuations are the data centres to which nothing may be sent.
	Evacuations []Evacuation
	// Faults describe the parts that could not be read; the other parts are valid.
	Faults []error
}

// Evacuation is a change of an operator's order to send nothing to the upstreams of a data
// centre.
type Evacuation struct {
	DataCentre string
	// Revision is the store's revision of the change.
	Revision uint64
	// Ended reports whether the order was removed.
	Ended bool
}

// Rollout is an order to move the traffic of a service to upstreams of another
// version.
type Rollout struct {
	Service string
	// Target is the version to move to.
	Target string
	// Within is the time from the order to the deadline of the roll-out.
	Within time.Duration
	// Revision is the store's revision of the order; a newer one replaces it.
	Revision uint64
	// Age is how long the order has been known, if a peer passed it on.
	Age time.Duration
}

// RolloutState is the state of a roll-out.
type RolloutState string

// States of a roll-out. The old upstreams are stopped when it is completed, the
// new ones when it is rolled back.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "taken-back"
)

// RolloutStatus is the status of a roll-out as reported to the operator.
type RolloutStatus struct {
	Service, Target string
	State           RolloutState
	// Order is the revision of the order that the status is of.
	Order uint64
}

// ErrOutdated is returned for a write by an entry that no longer decides on its matter.
var ErrOutdated = errors.New("a later status was written")

// DocumentVersions are the versions of the documents of an entry: the version of
// the configuration, and the store's revisions of the newest change to an upstream
// and of the newest order of a roll-out.
type DocumentVersions struct {
	Config   uint64 `msgpack:"c"`
	Replicas uint64 `msgpack:"r"`
	Rollouts uint64 `msgpack:"o,omitempty"`
	// Orders is a hash of the known writes of orders, 0 if none is known.
	Orders uint64 `msgpack:"d,omitempty"`
	// Evacuations is the store's revision of the newest change to an evacuation, 0 if none
	// was ever ordered.
	Evacuations uint64 `msgpack:"x,omitempty"`
}

// OlderThan reports whether at least one document of o is newer than that of v.
func (v DocumentVersions) OlderThan(o DocumentVersions) bool {
	return o.Config > v.Config || o.Replicas > v.Replicas || o.Rollouts > v.Rollouts || o.Evacuations > v.Evacuations
}

// OrdersDiffer reports whether both entries know orders of roll-outs, but not from the
// same writes of the store.
func (v DocumentVersions) OrdersDiffer(o DocumentVersions) bool {
	return v.Orders != 0 && o.Orders != 0 && v.Orders != o.Orders
}

// ForwardEntry is an entry of the forwarding surface and the address on which it
// listens for its peers.
type ForwardEntry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Listen     string `json:"listen"`
}

// ErrHistoryGone means that a store no longer has the changes after the requested
// revision, so that the caller has to list the objects again.
var ErrHistoryGone = errors.New("store no longer has the changes after this revision")

// ForwardSource provides the configuration and the registered upstreams of the
// forwarding surface. Its errors wrap ErrUnavailable or ErrOutcomeUnknown.
type ForwardSource interface {
	// Orders returns the operator's orders and the store's revision; a watch from
	// this revision misses no change.
	Orders(ctx context.Context) (Orders, uint64, error)
	// WatchOrders waits for changes after revision. It returns only the changes,
	// none when wait has passed, and the revision to continue from.
	WatchOrders(ctx context.Context, revision uint64, wait time.Duration) (Orders, uint64, error)
	// Replicas lists the registered upstreams with the revision to watch from.
	Replicas(ctx context.Context) ([]Registration, uint64, error)
	// WatchReplicas waits for changes after revision.
	WatchReplicas(ctx context.Context, revision uint64, wait time.Duration) ([]Registration, uint64, error)
	// Announce registers an entry; the registration expires after some minutes.
	Announce(ctx context.Context, e ForwardEntry) error
	// Entries lists the registered entries. The list may be seconds old.
	Entries(ctx context.Context) ([]ForwardEntry, error)
	// Records returns the store for the records that entries share, nil if there are
	// none.
	Records() Store
	// Report writes the status of a roll-out for the operator.
	Report(ctx context.Context, s RolloutStatus) error
}
