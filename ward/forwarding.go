package ward

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ForwardKind says what may be repeated on a route of the forwarding surface.
type ForwardKind string

// Kinds of route.
const (
	// ForwardSafe requests may run more than once.
	ForwardSafe ForwardKind = "safe"
	// ForwardUnsafe requests run at most once.
	ForwardUnsafe ForwardKind = "unsafe"
	// ForwardStream requests are answered by a stream of events and run at most
	// once, unless the route is resumable.
	ForwardStream ForwardKind = "stream"
)

// Forwarding is the configuration of the forwarding surface.
type Forwarding struct {
	// Version grows with every change; the gaps between versions have no meaning.
	Version uint64 `json:"version"`
	// Routes, Services and Teams are complete lists.
	Routes   []ForwardRoute   `json:"routes"`
	Services []ForwardService `json:"services"`
	Teams    []ForwardTeam    `json:"teams"`
	Limits   ForwardLimits    `json:"limits"`
}

// ForwardRoute leads the requests of a host and path prefix to services.
type ForwardRoute struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The longest one that begins the path
	// selects the route.
	Prefix string      `json:"prefix"`
	Kind   ForwardKind `json:"kind"`
	// Timeout bounds a request from its arrival to its last byte; 0 means none.
	Timeout Duration `json:"timeout"`
	// Target is the latency that counts as in time: of the answer, or of the
	// first event of a stream.
	Target Duration `json:"target-latency"`
	// MaxGap is the longest pause between two events that counts as in time.
	MaxGap Duration `json:"max-gap"`
	// Rank orders requests that wait; 0 is served first.
	Rank int `json:"rank"`
	// Split divides the requests between services by weight.
	Split []ForwardShare `json:"split"`
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Resumable streams may be continued by another upstream after an event.
	Resumable bool `json:"resumable"`
}

// Repeatable tells whether a request of the route may run a second time.
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
	// entries together; 0 means no bound.
	MaxConnections int `json:"max-connections"`
	// Engine says that the upstreams are model engines. Stride is the number of
	// tokens in one event of their streams, 0 when it is not stated.
	Engine bool `json:"engine"`
	Stride int  `json:"stride"`
}

// ForwardTeam is a team of callers on the forwarding surface.
type ForwardTeam struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Rank goes before the rank of the route; HasRank says that it is given.
	Rank    int  `json:"rank"`
	HasRank bool `json:"has-rank"`
	// Rate and Burst are the quota over all entries, in units a second and in
	// units; 0 means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Tokens says that the unit is the token. PlainTokens is the size of a request
	// that names none.
	Tokens      bool    `json:"tokens"`
	PlainTokens float64 `json:"plain-tokens"`
}

// ForwardLimits bound what a caller may send.
type ForwardLimits struct {
	// MaxHeader and MaxBody are in bytes; 0 means the defaults of the settings.
	MaxHeader int `json:"max-header"`
	MaxBody   int `json:"max-body"`
	// HeaderTimeout bounds the arrival of a request's head, IdleTimeout the time
	// between two requests of a connection.
	HeaderTimeout Duration `json:"header-timeout"`
	IdleTimeout   Duration `json:"idle-timeout"`
}

// Replica is one registered upstream of the forwarding surface.
type Replica struct {
	// ID names one upstream; a restarted process may keep it.
	ID string
	// Born tells two processes with one ID apart; 0 means that it is not known.
	Born int64
	// Service, Version and DataCentre say what it serves, in which version of its
	// software and where.
	Service    string
	Version    string
	DataCentre string
	// Address is an IP number and port. It may be given to another upstream later.
	Address string
	// Slots is the number of requests that it processes at once.
	Slots int
	// Draining says that it gets no new requests.
	Draining bool
}

// ForwardHead is what the head of a caller's request says to the forwarding
// surface, whatever the names of its fields.
type ForwardHead struct {
	// ID is the request's id; each attempt of a caller has its own.
	ID string
	// Key is the team's key.
	Key string
	// Timeout is how long the caller will wait; 0 means that it is not given.
	Timeout time.Duration
	// PromptTokens and MaxOutput are the sizes of a model request; HasTokens says
	// that they are given. OutputHint is the caller's guess of the output tokens,
	// 0 when there is none.
	PromptTokens int
	MaxOutput    int
	HasTokens    bool
	OutputHint   int
	// Parts lists the shared parts of the prompt, in order.
	Parts []PromptPart
	// LastEvent is the id of the last event that the caller has, -1 for none.
	LastEvent int64
}

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// ForwardHop is what an entry tells an upstream about a request.
type ForwardHop struct {
	// Replica is the ID that the upstream is expected to have.
	Replica string
	Team    string
	// Remaining is what is left of the caller's time; 0 means no bound.
	Remaining time.Duration
	// LastEvent is the event after which a stream goes on, -1 for its start.
	LastEvent int64
}

// ForwardReply is what the head of an upstream's answer says.
type ForwardReply struct {
	// ID is the id of the request that is answered.
	ID string
	// Signed says that the upstream vouches for the answer.
	Signed bool
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
}

// Dialect translates the heads of requests and answers between the fields of a
// deployment and the words of the forwarding surface.
type Dialect interface {
	// Head reads the head of a caller's request.
	Head(h http.Header) (ForwardHead, error)
	// Outgoing returns the fields that an upstream gets.
	Outgoing(h http.Header, hop ForwardHop) http.Header
	// Reply reads the head of an upstream's answer.
	Reply(status int, h http.Header) ForwardReply
	// RequestID is the field that carries the id of a request and its answer.
	RequestID() string
}

// Registration is one change of the registered upstreams.
type Registration struct {
	Replica Replica
	// Revision is the store's revision of the change.
	Revision uint64
	// Removed says that the registration is gone.
	Removed bool
	// Fault says why a registration cannot be used; the ID alone is known then.
	Fault string
}

// Orders is what the operator asks for. Forwarding has Version 0 where there is
// no configuration.
type Orders struct {
	Forwarding Forwarding
	Rollouts   []Rollout
	// Faults tell what could not be read; the rest holds.
	Faults []error
}

// Rollout asks for the traffic of a service to be moved to upstreams of another
// version.
type Rollout struct {
	Service string
	// Target is the version to move to.
	Target string
	// Within is the time from the order to its end.
	Within time.Duration
	// Revision is the store's revision of the order; a newer one replaces it.
	Revision uint64
	// Age is how long the order has been known, where a peer passes it on.
	Age time.Duration
}

// RolloutState is how a roll-out stands.
type RolloutState string

// States of a roll-out. On completed the old upstreams are stopped, on taken back
// the new ones.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "taken-back"
)

// RolloutStatus is what the operator is told of a roll-out.
type RolloutStatus struct {
	Service, Target string
	State           RolloutState
}

// DocumentVersions tell how new the documents of an entry are: the version of the
// configuration, and the store's revisions of the newest change of an upstream and
// of the newest order of a roll-out.
type DocumentVersions struct {
	Config   uint64 `msgpack:"c"`
	Replicas uint64 `msgpack:"r"`
	Rollouts uint64 `msgpack:"o,omitempty"`
}

// OlderThan tells whether o has a document that is newer than that of v.
func (v DocumentVersions) OlderThan(o DocumentVersions) bool {
	return o.Config > v.Config || o.Replicas > v.Replicas || o.Rollouts > v.Rollouts
}

// ForwardEntry is where one entry of the forwarding surface hears its peers.
type ForwardEntry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Listen     string `json:"listen"`
}

// ErrHistoryGone says that a store no longer has the changes after the asked
// revision: what is wanted has to be listed again.
var ErrHistoryGone = errors.New("history of the store is gone")

// ForwardSource gives the configuration and the registered upstreams of the
// forwarding surface. Its errors wrap ErrUnavailable or ErrOutcomeUnknown.
type ForwardSource interface {
	// Orders reads what the operator asks for, and the store's revision, from which
	// a watch misses no change.
	Orders(ctx context.Context) (Orders, uint64, error)
	// WatchOrders waits for changes after revision. It returns those alone, none
	// when wait has passed, and the revision to go on from.
	WatchOrders(ctx context.Context, revision uint64, wait time.Duration) (Orders, uint64, error)
	// Replicas lists the registered upstreams with the revision to watch from.
	Replicas(ctx context.Context) ([]Registration, uint64, error)
	// WatchReplicas waits for changes after revision.
	WatchReplicas(ctx context.Context, revision uint64, wait time.Duration) ([]Registration, uint64, error)
	// Announce registers an entry for some minutes.
	Announce(ctx context.Context, e ForwardEntry) error
	// Entries lists the registered entries. The list may be seconds old.
	Entries(ctx context.Context) ([]ForwardEntry, error)
	// Records holds what entries agree on, nil where there is nothing to agree on.
	Records() Store
	// Report tells the operator how a roll-out stands.
	Report(ctx context.Context, s RolloutStatus) error
}
