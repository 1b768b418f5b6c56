package ward

import "net/http"

// StandinStore is a stand-in for the platform's store. A soak test writes to it
// as the operator and the upstreams do, and injects faults into it.
type StandinStore interface {
	http.Handler
	// Configure puts a configuration in force.
	Configure(f Forwarding) error
	// Register adds the registration of an upstream, Withdraw removes it.
	Register(r Replica) error
	Withdraw(id string)
	// Order orders a roll-out, Status returns what the entries report about it.
	Order(r Rollout) error
	Status(service string) RolloutStatus
	// Faults lists the names of the faults that can be injected. InjectFault starts
	// one of them; an empty name ends it.
	Faults() []string
	InjectFault(fault string)
	// Compact discards the history of changes up to now.
	Compact()
}

// StandinDialect is the counterpart of a Dialect: it writes the header fields of
// callers, and reads and writes those of upstreams.
type StandinDialect interface {
	// Caller returns the header fields of a caller's request.
	Caller(h ForwardHead) http.Header
	// Hop reads the fields that an entry adds for an upstream, and the id of the
	// request. Answers carry the id in the same field.
	Hop(h http.Header) (id string, hop ForwardHop)
	// Answer returns the header fields of an upstream's answer.
	Answer(r ForwardReply) http.Header
}
