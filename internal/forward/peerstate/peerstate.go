// Package peerstate provides the messages by which entries tell each other what they
// run, what they let through and which versions they know, and the datagrams
// that carry them.
//
// # Usage
//
//	b, err := peerstate.Message{Name: "entry-1", Config: 7}.Encode()
//	m, err := peerstate.Decode(b)
package peerstate

import (
	"errors"
	"fmt"

	"agateward/internal/forward/schedule"
	"agateward/ward"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize bounds a message in bytes: one datagram.
const MaxSize = 60 << 10

// Message is what one entry tells the others. It is sent often; a lost one is
// made up for by the next.
type Message struct {
	// Name is the sender, Start tells two processes of one name apart, Sequence
	// grows with each message.
	Name     string `msgpack:"n"`
	Start    int64  `msgpack:"b"`
	Sequence uint64 `msgpack:"s"`
	// State is the address at which the sender's documents can be fetched.
	State string `msgpack:"a"`
	// Listen is the address at which the sender hears messages.
	Listen string `msgpack:"l"`
	// Documents tells how new the sender's documents are.
	Documents ward.DocumentVersions `msgpack:"v"`
	// StoreAge is the time in milliseconds since the store last answered the sender.
	StoreAge int64 `msgpack:"e"`
	// Requests is what the sender's scheduler tells.
	Requests schedule.PeerState `msgpack:"q"`
	// Grant names an upstream of which the sender gives a slot away; such a message
	// says nothing else.
	Grant string `msgpack:"g,omitempty"`
	// GrantSequence numbers the slots given to the receiver.
	GrantSequence uint64 `msgpack:"h,omitempty"`
	// GrantUsed says that a request of the sender had the slot until now.
	GrantUsed bool `msgpack:"w,omitempty"`
	// Quota is what the sender let through since its start, by team.
	Quota map[string]float64 `msgpack:"t,omitempty"`
	// Peers lists the addresses of entries that the sender hears.
	Peers []string `msgpack:"p,omitempty"`
	// Moves is what the sender knows of the roll-outs that are under way; such a
	// message says nothing else.
	Moves *Moves `msgpack:"m,omitempty"`
}

// Moves is what entries tell each other of roll-outs.
type Moves struct {
	Quarantines []ward.Quarantine `msgpack:"Brakes"`
	Counts      []ward.Counts
	States      []ward.MoveState
}

var errMessage = errors.New("message of a peer")

// Encode returns the message as bytes.
func (m Message) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode news: %w", err)
	}
	if len(b) > MaxSize {
		return nil, fmt.Errorf("%w: %d bytes", errMessage, len(b))
	}
	return b, nil
}

// Decode reads a message and checks it.
func Decode(b []byte) (Message, error) {
	var m Message
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", errMessage, err)
	}
	if m.Name == "" || m.Listen == "" {
		return Message{}, fmt.Errorf("%w: no sender", errMessage)
	}
	for id, n := range m.Requests.Load {
		if n < 0 {
			return Message{}, fmt.Errorf("%w: load %d of %q", errMessage, n, id)
		}
	}
	return m, nil
}
