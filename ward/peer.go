package ward

import (
	"context"
	"errors"
	"time"
)

// ErrNotConnected means that no connection was made, so that no byte of the
// request can have reached the other side.
var ErrNotConnected = errors.New("not connected")

// Incarnation identifies one run of an entry among the runs under the same name.
// It is the start time in Unix nanoseconds.
type Incarnation uint64

// Quarantine excludes a version from new work on a route (Route "" means on every
// route). It never expires; it is lifted only by a ticket that puts another move
// in force.
type Quarantine struct {
	Serves  string `json:"serves"`
	Version string `json:"version"`
	Route   string `json:"route,omitempty"`
	// Move is the move whose new version was found to be bad, Ticket the ticket
	// that set the move. By is the name of the entry that made the quarantine.
	Move   string    `json:"move"`
	Ticket uint64    `json:"ticket"`
	Reason string    `json:"reason"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
}

// LatencyBuckets is the number of buckets in a latency histogram of Counts.
const LatencyBuckets = 24

// Counts are the outcome counts of one version on one route in one run of an
// entry. They never decrease, so a merge takes the larger one.
type Counts struct {
	Serves      string      `json:"serves"`
	Version     string      `json:"version"`
	Route       string      `json:"route"`
	Move        string      `json:"move"`
	Entry       string      `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	// Sent counts the requests that were sent, Void those of them that ended without
	// being evidence.
	Sent      uint64 `json:"sent,omitempty" msgpack:",omitempty"`
	Void      uint64 `json:"void,omitempty" msgpack:",omitempty"`
	Succeeded uint64 `json:"succeeded"`
	Failed    uint64 `json:"failed"`
	// Latency counts outcomes by latency, normalized by size. The analysis defines
	// the bucket bounds.
	Latency [LatencyBuckets]uint64 `json:"latency"`
}

// Demand is the part of one upstream's capacity that an entry uses and requests.
type Demand struct {
	Upstream string `json:"upstream"`
	// InFlight is the number of running requests, Prefill the number of prompt
	// tokens of those without a first token, Waiting the number of prompt tokens
	// queued in the entry.
	InFlight int `json:"in-flight"`
	Prefill  int `json:"prefill"`
	Waiting  int `json:"waiting"`
	// Rate is the number of prompt tokens per second that the entry observed
	// recently, 0 if it observed none.
	Rate int `json:"rate,omitempty"`
}

// ServesFloor is the shedding state of one model or service at one entry.
type ServesFloor struct {
	Serves string `json:"serves"`
	// Need is the floor that the entry itself requires, Floor the floor in force at
	// the entry: requests of a lower tier are shed.
	Need  Tier `json:"need"`
	Floor Tier `json:"floor"`
	// Waiting counts the entry's waiting requests by tier, from TierTop.
	Waiting [TierCount]int `json:"waiting"`
}

// PeerState is the state that an entry sends its peers. Seq increases with every
// change within one incarnation.
type PeerState struct {
	Name        string      `json:"name"`
	Address     string      `json:"address"`
	Operator    string      `json:"operator"`
	DataCentre  string      `json:"data-centre"`
	Incarnation Incarnation `json:"incarnation"`
	Seq         uint64      `json:"seq"`
	Leaving     bool        `json:"leaving"`
	// Revision is the configuration revision in force at the entry.
	Revision uint64 `json:"revision"`
	// Floor is the lowest tier that the entry admits (TierBottom: nothing is shed).
	// Waiting counts its waiting requests by tier, from TierTop.
	Floor   Tier           `json:"floor"`
	Waiting [TierCount]int `json:"waiting"`
	// Floors lists the floors by model or service, without those that shed
	// nothing and have no waiting requests.
	Floors []ServesFloor `json:"floors,omitempty"`
	// Draining lists the upstreams that are draining according to the platform's
	// list.
	Draining []string `json:"draining,omitempty"`
	Demand   []Demand `json:"demand,omitempty"`
}

// Heartbeat is the part of a PeerState that changes often, in a short form so that
// one message can hold many. A receiver that does not know Entry ignores it.
type Heartbeat struct {
	// Entry is a short hash of the entry's name and incarnation.
	Entry uint32 `json:"entry"`
	Seq   uint64 `json:"seq"`
	// Suspect reports that the entry did not reply while its state was Seq. The
	// entry refutes this with a higher Seq.
	Suspect  bool           `json:"suspect"`
	Leaving  bool           `json:"leaving"`
	Revision uint64         `json:"revision"`
	Floor    Tier           `json:"floor"`
	Waiting  [TierCount]int `json:"waiting"`
	Floors   []ServesFloor  `json:"floors"`
	Draining []string       `json:"draining"`
}

// ConfigDelta is the difference between the configuration of revision Base and a
// later one.
type ConfigDelta struct {
	Base uint64 `json:"base"`
	// Config holds the fields of the later configuration. Its lists hold only the
	// new and changed objects.
	Config Config `json:"config"`
	// The names of the objects that were removed since Base.
	UpstreamsGone []string `json:"upstreams-gone"`
	RoutesGone    []string `json:"routes-gone"`
	TeamsGone     []string `json:"teams-gone"`
	MovesGone     []string `json:"moves-gone"`
	// Sum is a hash of the full later configuration.
	Sum uint64 `json:"sum"`
}

// Exchange is a message between two entries. A message and its reply have the same
// form.
type Exchange struct {
	Fleet    string `json:"fleet"`
	Protocol int    `json:"protocol"`
	From     string `json:"from"`
	// Incarnation is the sender's. To is the name of the receiver, if the sender
	// knows it.
	Incarnation Incarnation `json:"incarnation"`
	To          string      `json:"to,omitempty"`
	// Revision is the sender's configuration revision; Config is set when the
	// receiver is known to have a lower one.
	Revision uint64  `json:"revision"`
	Config   *Config `json:"config,omitempty"`
	// Delta is sent instead of Config when the receiver has its base. WantConfig
	// asks for a full configuration.
	Delta      *ConfigDelta `json:"delta,omitempty"`
	WantConfig bool         `json:"want-config,omitempty"`
	// States, Heartbeats, Quarantines, Counts and Moves hold changes only. Digest is
	// a hash of all that the sender knows, so that differences are found and
	// repaired.
	States      []PeerState  `json:"states,omitempty"`
	Heartbeats  []Heartbeat  `json:"beats,omitempty"`
	Quarantines []Quarantine `json:"brakes,omitempty"`
	Counts      []Counts     `json:"counts,omitempty"`
	Moves       []MoveState  `json:"moves,omitempty"`
	Digest      uint64       `json:"digest"`
	// Buckets is the digest in parts; it is sent when digests differ.
	Buckets []uint32 `json:"buckets,omitempty"`
}

// Peer exchanges messages with other entries.
type Peer interface {
	// Exchange sends m and returns the reply of the entry at address.
	Exchange(ctx context.Context, address string, m Exchange) (Exchange, error)
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of event.
const (
	EventTicketAccepted     EventKind = "ticket-accepted"
	EventMoveStarted        EventKind = "move-started"
	EventMoveStep           EventKind = "move-step"
	EventMoveDone           EventKind = "move-done"
	EventMoveRolledBack     EventKind = "move-taken-back"
	EventVersionQuarantined EventKind = "version-braked"
)

// Event is a notification for operators. Its ID stays the same when it is sent
// again.
type Event struct {
	ID     string    `json:"id"`
	Kind   EventKind `json:"kind"`
	At     time.Time `json:"at"`
	Ticket uint64    `json:"ticket,omitempty"`
	Move   string    `json:"move,omitempty"`
	Entry  string    `json:"entry"`
	// Share is the share of traffic on the new version, from 0 to 1.
	Share    float64  `json:"share"`
	Text     string   `json:"text"`
	Evidence []Counts `json:"evidence,omitempty"`
}

// Notifier sends events to operators.
type Notifier interface {
	// Notify delivers e at least once.
	Notify(ctx context.Context, e Event) error
}
