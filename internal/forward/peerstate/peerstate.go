// Package peerstate provides the messages by which entries exchange their load,
// their use of quotas and the versions of their documents, and the encoding of
// these messages as datagrams.
//
// # Usage
//
//	b, err := peerstate.Message{Name: "entry-1", Listen: "10.0.0.1:7600"}.Encode()
//	m, err := peerstate.Decode(b)
package peerstate

import (
	"errors"
	"fmt"
	"math"

	"agateward/internal/forward/poison"
	"agateward/internal/forward/returns"
	"agateward/internal/forward/schedule"
	"agateward/internal/peer/unpack"
	"agateward/ward"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxSize bounds a message in bytes, so that it fits into one datagram.
	MaxSize = 60 << 10
	// maxDepth bounds the nesting of a message's lists and maps.
	maxDepth = 12
)

// Message is the state that an entry sends its peers. It is sent often, so a lost
// one is not repeated: the next replaces it.
type Message struct {
	// Name is the sender. Start distinguishes two processes of one name. Sequence
	// grows with each message.
	Name     string `msgpack:"n"`
	Start    int64  `msgpack:"b"`
	Sequence uint64 `msgpack:"s"`
	// StateAddress is the address at which the sender's documents can be fetched.
	StateAddress string `msgpack:"a"`
	// Listen is the address at which the sender receives messages.
	Listen string `msgpack:"l"`
	// Documents holds the versions of the sender's documents.
	Documents ward.DocumentVersions `msgpack:"v"`
	// StoreAge is the time in milliseconds since the store last answered the sender.
	StoreAge int64 `msgpack:"e"`
	// UpstreamAge is the time in milliseconds since the sender last heard an upstream, plus
	// 1; 0 if it heard none.
	UpstreamAge int64 `msgpack:"j,omitempty"`
	// Requests is the state of the sender's scheduler.
	Requests schedule.PeerState `msgpack:"q"`
	// Grant is the ID of an upstream of which the sender grants one slot to the
	// receiver. Such a message holds only the fields of the grant.
	Grant string `msgpack:"g,omitempty"`
	// GrantSequence numbers the slots granted to the receiver.
	GrantSequence uint64 `msgpack:"h,omitempty"`
	// GrantUsed reports whether a request of the sender used the slot until now.
	GrantUsed bool `msgpack:"w,omitempty"`
	// GrantPermit reports whether the slot is a permit for one request to a cold upstream.
	GrantPermit bool `msgpack:"gp,omitempty"`
	// Quota is the use of quotas that the sender admitted since its start, by team.
	Quota map[string]float64 `msgpack:"t,omitempty"`
	// QuotaLevels is what is left in the sender's buckets, by team. It is sent while a
	// peer has just started.
	QuotaLevels map[string]float64 `msgpack:"u,omitempty"`
	// Peers lists the addresses of the entries that the sender receives messages from.
	Peers []string `msgpack:"p,omitempty"`
	// Prompts is what the sender knows of requests, and parts of prompts, under which
	// upstreams crash.
	// Such a message holds nothing else, and may come from any entry of the fleet.
	Prompts []poison.Report `msgpack:"k,omitempty"`
	// Limits is what the sender knows of the request rates that upstreams named. A message
	// with News set holds nothing besides but Prompts.
	Limits []schedule.LimitReport `msgpack:"y,omitempty"`
	// News is true for a message that may come from any entry of the fleet.
	News bool `msgpack:"z,omitempty"`
	// Returns is what the sender promised to refused callers, and which promises it used.
	// Such a message has News set, so that entries without the field ignore it, and may come
	// from any entry of the data centre.
	Returns *returns.News `msgpack:"r,omitempty"`
	// Lending is a message about slots lent between cells. Such a message has News set, so
	// that entries that know no loans ignore it, and holds nothing else.
	Lending *schedule.LendingMessage `msgpack:"c,omitempty"`
	// Moves is the sender's state of the roll-outs in progress. Such a message holds
	// nothing else.
	Moves *Moves `msgpack:"m,omitempty"`
}

// Moves is the state of roll-outs that entries exchange. The names of its fields
// are keys on the wire.
type Moves struct {
	Quarantines []ward.Quarantine `msgpack:"Brakes"`
	Counts      []ward.Counts
	States      []ward.MoveState
}

var errInvalidMessage = errors.New("invalid peer message")

// Encode returns the message as bytes.
func (m Message) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode peer message: %w", err)
	}
	if len(b) > MaxSize {
		return nil, fmt.Errorf("%w: %d bytes do not fit into a datagram", errInvalidMessage, len(b))
	}
	return b, nil
}

// Decode reads a message and checks it.
func Decode(b []byte) (Message, error) {
	var m Message
	if err := (unpack.Bounds{Depth: maxDepth, Maps: true}).Decode(b, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	if m.Name == "" || m.Listen == "" {
		return Message{}, fmt.Errorf("%w: name or listen address is missing", errInvalidMessage)
	}
	for id, n := range m.Requests.Load {
		if n < 0 {
			return Message{}, fmt.Errorf("%w: load %d of upstream %q is below 0", errInvalidMessage, n, id)
		}
	}
	for _, quotas := range []map[string]float64{m.Quota, m.QuotaLevels} {
		for team, x := range quotas {
			if math.IsNaN(x) || math.IsInf(x, 0) {
				return Message{}, fmt.Errorf("%w: quota of team %.40q is %v", errInvalidMessage, team, x)
			}
		}
	}
	for _, r := range m.Requests.Teams {
		if !r.Valid() {
			return Message{}, fmt.Errorf("%w: sums of team %q are no times: asked %v, given %v, lacked %v, weight %v", errInvalidMessage, r.Team, r.Asked, r.Given, r.Lacked, r.Weight)
		}
	}
	for _, l := range m.Limits {
		if r := l.State.PerSecond; !(r >= 0 && r < math.Inf(1)) {
			return Message{}, fmt.Errorf("%w: limit %v of upstream %q is not a rate", errInvalidMessage, r, l.Upstream.ID)
		}
	}
	return m, nil
}
