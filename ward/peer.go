package ward

import (
	"context"
	"errors"
	"time"
)

// ErrNotConnected says that a connection was never made: no byte of the request
// can have reached the other side.
var ErrNotConnected = errors.New("not connected")

// Incarnation tells one run of an entry from the next one under the same name.
// It is the start time in Unix nanoseconds.
type Incarnation uint64

// Quarantine is a quarantine of a version on a route (Route "" means on every
// route). Brakes only grow: one is lifted by a ticket that puts another move in
// force, never by time.
type Quarantine struct {
	Serves  string `json:"serves"`
	Version string `json:"version"`
	Route   string `json:"route,omitempty"`
	// Move is the move that was convicted, Ticket the ticket that set it.
	Move   string    `json:"move"`
	Ticket uint64    `json:"ticket"`
	Reason string    `json:"reason"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
}

// LatencyBuckets is the number of buckets in a latency histogram of Counts.
const LatencyBuckets = 24

// Counts are the outcome counts of one version on one route at one run of an
// entry. They only grow, so merging takes the larger one.
type Counts struct {
	Serves      string      `json:"serves"`
	Version     string      `json:"version"`
	Route       string      `json:"route"`
	Move        string      `json:"move"`
	Entry       string      `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	Succeeded   uint64      `json:"succeeded"`
	Failed      uint64      `json:"failed"`
	// Latency counts outcomes by time, normalized by size. Bucket bounds are
	// those of the analysis.
	Latency [LatencyBuckets]uint64 `json:"latency"`
}

// Demand is what an entry uses and wants of one upstream's budget.
type Demand struct {
	Upstream string `json:"upstream"`
	// InFlight is the number of requests dispatched and not ended, Prefill the
	// prompt tokens among them without a first token, Waiting the prompt tokens
	// that wait in the entry.
	InFlight int `json:"in-flight"`
	Prefill  int `json:"prefill"`
	Waiting  int `json:"waiting"`
	// Rate is the prompt tokens a second that the entry observed, 0 when it
	// observed none lately.
	Rate int `json:"rate,omitempty"`
}

// ServesFloor is the shedding state of one model or service at one entry.
type ServesFloor struct {
	Serves string `json:"serves"`
	// Need is the floor that the entry itself asks for, Floor the one in force
	// there: requests of a tier below it are shed.
	Need  Tier `json:"need"`
	Floor Tier `json:"floor"`
	// Waiting counts the entry's waiting requests by tier, from TierTop.
	Waiting [TierCount]int `json:"waiting"`
}

// PeerState is what one entry tells others about itself. Seq grows with every
// change of it within one incarnation.
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
	// Floor is the lowest tier the entry admits (TierBottom: sheds nothing), and
	// Waiting counts its waiting requests by tier, from TierTop.
	Floor   Tier           `json:"floor"`
	Waiting [TierCount]int `json:"waiting"`
	// Floors holds the floors by model or service, those at rest left out.
	Floors []ServesFloor `json:"floors,omitempty"`
	// Draining names upstreams that the platform's list calls leaving.
	Draining []string `json:"draining,omitempty"`
	Demand   []Demand `json:"demand,omitempty"`
}

// Heartbeat is the part of a PeerState that changes often, in a short form that many
// fit into one message. Who does not know Entry passes over it.
type Heartbeat struct {
	// Entry is a short hash of the entry's name and incarnation.
	Entry uint32 `json:"entry"`
	Seq   uint64 `json:"seq"`
	// Suspect says that the entry did not answer when its state was Seq. It
	// refutes this with a higher Seq.
	Suspect  bool           `json:"suspect"`
	Leaving  bool           `json:"leaving"`
	Revision uint64         `json:"revision"`
	Floor    Tier           `json:"floor"`
	Waiting  [TierCount]int `json:"waiting"`
	Floors   []ServesFloor  `json:"floors"`
	Draining []string       `json:"draining"`
}

// ConfigDelta leads from the configuration of revision Base to a later one.
type ConfigDelta struct {
	Base uint64 `json:"base"`
	// Config holds the later one's own fields, and of its lists only the objects
	// that are new or changed.
	Config Config `json:"config"`
	// The names of objects that Base has and the later one has not.
	UpstreamsGone []string `json:"upstreams-gone"`
	RoutesGone    []string `json:"routes-gone"`
	TeamsGone     []string `json:"teams-gone"`
	MovesGone     []string `json:"moves-gone"`
	// Sum is a hash of the whole later configuration.
	Sum uint64 `json:"sum"`
}

// Exchange is one message between two entries, in both directions.
type Exchange struct {
	Fleet    string `json:"fleet"`
	Protocol int    `json:"protocol"`
	From     string `json:"from"`
	// Incarnation is the sender's. To names the entry that is meant, when the
	// sender knows it.
	Incarnation Incarnation `json:"incarnation"`
	To          string      `json:"to,omitempty"`
	// Revision is the sender's configuration revision; Config is set when the
	// receiver is known to have a lower one.
	Revision uint64  `json:"revision"`
	Config   *Config `json:"config,omitempty"`
	// Delta is sent in place of Config when the receiver has its base. WantConfig
	// asks for a whole one.
	Delta      *ConfigDelta `json:"delta,omitempty"`
	WantConfig bool         `json:"want-config,omitempty"`
	// States, Heartbeats, Quarantines, Counts and Moves are deltas. Digest covers all that the sender
	// knows, so that a difference can be repaired.
	States      []PeerState  `json:"states,omitempty"`
	Heartbeats  []Heartbeat  `json:"beats,omitempty"`
	Quarantines []Quarantine `json:"brakes,omitempty"`
	Counts      []Counts     `json:"counts,omitempty"`
	Moves       []MoveState  `json:"moves,omitempty"`
	Digest      uint64       `json:"digest"`
	// Buckets are the digest in parts; they are sent when digests differ.
	Buckets []uint32 `json:"buckets,omitempty"`
}

// Peer reaches one other entry.
type Peer interface {
	// Exchange sends m and returns the answer of the entry at address.
	Exchange(ctx context.Context, address string, m Exchange) (Exchange, error)
}

// EventKind names what an operator is told of.
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

// Event is one thing that operators are told. Its ID stays the same when it is
// told again.
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

// Notifier tells operators of an event, at least once.
type Notifier interface {
	Notify(ctx context.Context, e Event) error
}
