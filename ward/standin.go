package ward

import "net/http"

// StandinStore is a stand-in of the platform's store that a soak writes to as the
// operator and the upstreams do, and that it can spoil.
type StandinStore interface {
	http.Handler
	// Configure puts a configuration in force.
	Configure(f Forwarding) error
	// Register writes the registration of an upstream, Withdraw removes it.
	Register(r Replica) error
	Withdraw(id string)
	// Order asks for a roll-out, Status tells what the entries say of it.
	Order(r Rollout) error
	Status(service string) RolloutStatus
	// Faults names the ways in which it can misbehave. InjectFault starts one of
	// them; an empty name ends it.
	Faults() []string
	InjectFault(fault string)
	// Compact forgets the changes up to now.
	Compact()
}

// StandinDialect is the other side of a Dialect: the fields that callers send and
// that upstreams read and answer with.
type StandinDialect interface {
	// Caller returns the fields of a caller's request.
	Caller(h ForwardHead) http.Header
	// Hop reads what an entry tells an upstream, and the id of the request; answers
	// carry the id in the same field.
	Hop(h http.Header) (id string, hop ForwardHop)
	// Answer returns the fields of an upstream's answer.
	Answer(r ForwardReply) http.Header
}
