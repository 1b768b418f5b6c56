package schedule

import (
	"time"

	"agateward/ward"
)

// Job is one request to be dispatched to an upstream.
type Job struct {
	// ID is unique among the jobs of an entry.
	ID      uint64
	Request string
	Service string
	Route   string
	// Team is the name of the caller's team, "" for none. Weight is its token quota, 0
	// for none, by which teams share the upstreams.
	Team   string
	Weight float64
	// Homes are the regions whose upstreams may get the job, nil for all.
	Homes []string
	// Rank orders waiting jobs, the lower first: the team's rank, then the route's.
	Rank [2]int
	// Arrived is when the caller's request came in.
	Arrived time.Time
	// Due is the target time for the first event (or the answer) to reach the
	// caller; after Expires it is of no use.
	Due     time.Time
	Expires time.Time
	// Deadline is when the last byte must have reached the caller; zero means no
	// bound.
	Deadline time.Time
	// EndBy is when the stopping entry exits; zero means that it does not stop. The
	// job is refused once no upstream is expected to end it by then. Late in a stop it is
	// refused unless its Deadline is not after EndBy.
	EndBy time.Time
	// Prompt and Output are the sizes in tokens, 0 for plain requests.
	Prompt int
	Output int
	// MaxGap is the longest pause between two events that the caller accepts, 0 for no bound.
	// Stride is the number of tokens in an event, 0 if it is not known.
	MaxGap time.Duration
	Stride int
	// Repeatable jobs may be used to probe an upstream that failed.
	Repeatable bool
	// Avoid lists the upstreams that the request was already sent to.
	Avoid []string
	// Resumed is true when part of the answer has reached the caller; the job is
	// then not refused before Expires.
	Resumed bool
	// Returned is true when the caller was refused before and comes back as promised. The
	// job precedes others of its rank and is not refused for its wait before Expires.
	Returned bool

	// NoLoan is true for a request that uses no slot of another cell: a canary.
	NoLoan bool

	// effective is the rank that orders the job while it waits; raised is true if it
	// is above Rank.
	effective [2]int
	raised    bool
	// over is true while the job's team got more than its share, beside while another team
	// did.
	over, beside bool
	// turnedLate is true once the job cannot be in time any more.
	turnedLate bool
}

// Action is a decision on one job: a dispatch if Upstream is set, else a refusal.
// Without a job it grants a free slot of Upstream to the peer GrantTo.
type Action struct {
	Job      *Job
	Upstream *ward.Replica
	GrantTo  string
	// Sequence numbers the slots granted to GrantTo. Used is true when a request of
	// this entry occupied the slot until now.
	Sequence uint64
	Used     bool
	// Lending is a message to the entry LendTo of another cell; nothing else is set
	// besides. Lender is the entry that lent the slot of a dispatch, "" for an own one.
	LendTo  string
	Lending *LendingMessage
	Lender  string
	// Permit is true for the slot of a cold upstream: the receiver may send one request
	// there.
	Permit bool
	// Predicted is the expected time to the first event.
	Predicted time.Duration
	// RetryAfter and Reason are set for a refusal.
	RetryAfter time.Duration
	Reason     string
	// WantsRoom is true for a refusal for want of room if returns are preferred. Offer is
	// the place that may then be promised to the caller, nil for none.
	WantsRoom bool
	Offer     *Offer
	// Waited is the time since the job's arrival; Running and Queued are the load of
	// the upstream and the length of the queue at the decision.
	Waited  time.Duration
	Running int
	Queued  int
}
