// Package exposure bounds the requests that an unproven version gets, whatever becomes
// of the roll-out.
//
// Operators state their bound for the whole fleet: a fraction of the requests of a
// service, and some requests on top. Each entry keeps to its part by its own counts
// alone, so that the bound holds also among entries that do not hear each other. The
// requests on top are spent first, since they give the evidence early that decides on
// the version.
//
// # Usage
//
//	b := exposure.Bound{Share: 0.1, Requests: 50}
//	if b.Allows(exposure.Use{All: 200, Exposed: 12, Entries: 6}) {
//		// send the request to the unproven version
//	}
package exposure

const (
	// usedShare is the fraction of Bound.Share that entries use. The rest covers requests
	// that are sent again and the end of a roll-out.
	usedShare = 0.9
	// doubtedShare is the fraction that they use while the outcomes speak against the
	// version. Some requests go on, as the outcomes may have been chance.
	doubtedShare = 0.3
	// earlyRequests and finalRequests are the fractions of Bound.Requests that are used
	// from the start and towards the end. The rest covers processes that start again.
	earlyRequests, finalRequests = 0.5, 0.3
	// FinalPart is the fraction of the window of a move after which Use.Final is set.
	FinalPart = 0.55
	// MaxShare is the greatest fraction of the requests that an unproven version gets at
	// any time.
	MaxShare = 0.25
	// ThinShare replaces MaxShare where few requests come.
	ThinShare = 0.5
	// EarlyPart is the fraction of the window of a move in which the early requests are to
	// be spent where few requests come.
	EarlyPart = 0.5
)

// Defaults of a Bound.
const (
	DefaultShare    = 0.1
	DefaultRequests = 20
)

// Bound is a bound on the requests that an unproven version gets over all entries from
// the order of a roll-out to its time limit. Its zero value stands for the defaults.
type Bound struct {
	// Share is a fraction of the service's requests, Requests a number on top.
	Share    float64
	Requests float64
}

// Use is what one entry has used of a bound.
type Use struct {
	// All counts the entry's requests since the order, Exposed those of them that the
	// version got.
	All, Exposed int
	// Entries is the number of entries.
	Entries int
	// Late is true for a process that started after the order: an earlier one may have
	// spent its part of the early requests.
	Late bool
	// Final is true towards the end of a roll-out.
	Final bool
	// Doubted is true while the outcomes speak against the version.
	Doubted bool
}

// CanaryShare returns the fraction of the requests that an unproven version gets, given the
// number of requests of the service that are expected in EarlyPart of the window. It exceeds
// MaxShare if the early requests would not be spent by then.
func (b Bound) CanaryShare(expected float64) float64 {
	return min(max(earlyRequests*b.withDefaults().Requests/max(expected, 1), MaxShare), ThinShare)
}

func (b Bound) withDefaults() Bound {
	if b == (Bound{}) {
		return Bound{Share: DefaultShare, Requests: DefaultRequests}
	}
	return b
}

// Allows reports whether the entry may send the version another request.
func (b Bound) Allows(u Use) bool {
	b = b.withDefaults()
	if u.Doubted {
		return float64(u.Exposed+1) <= doubtedShare*b.Share*float64(u.All)
	}
	part := 0.0
	if !u.Late {
		part += earlyRequests
	}
	if u.Final {
		part += finalRequests
	}
	return float64(u.Exposed+1) <= usedShare*b.Share*float64(u.All)+part*b.Requests/float64(max(u.Entries, 1))
}
