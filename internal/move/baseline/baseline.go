// Package baseline decides which version of a service a roll-out starts from, and which versions get
// no requests of the service.
//
// The outcome of the last roll-out decides: its target if it was completed, and the version before
// it if not. What is registered says what runs, not what was decided, so it counts only for a
// service without a recorded outcome, or after releases have replaced the decided version. A
// version that was rolled back gets no requests until it is ordered again or its upstreams are
// gone.
//
// # Usage
//
//	s := baseline.Service{Last: record, Replicas: registered}
//	d := s.Decide("v3")
//	if d.Version == "v3" {
//		// the target of the order is in use already
//	}
package baseline

import (
	"slices"

	"agateward/internal/move/split"
	"agateward/ward"
)

// Sources of a Decision.
const (
	// FromRecord means that the outcome of the last roll-out decided.
	FromRecord = "record"
	// FromReplicas means that the registered upstreams decided.
	FromReplicas = "registrations"
	// OnlyTarget means that there is no record and that only the target is registered: it is taken
	// for the version in use.
	OnlyTarget = "only-target"
)

// maxRejected bounds the versions that are rejected at the same time.
const maxRejected = 8

// Service is what is known of a service when a roll-out is ordered.
type Service struct {
	// Last is the record of the last roll-out; its zero value is none.
	Last ward.MoveState
	// Seen is a version in use that was seen before the order, "" for none.
	Seen string
	// Replicas are the registered upstreams of the service.
	Replicas []ward.Replica
}

// Decision is what a roll-out starts from.
type Decision struct {
	// Version is the version in use.
	Version string
	// Rejected lists the registered versions that were not accepted, sorted. They get no requests.
	Rejected []string
	// Source is what decided on Version.
	Source string
}

// Decide returns what a roll-out to target starts from.
func (s Service) Decide(target string) Decision {
	d := Decision{Rejected: s.rejected(target)}
	decided := s.decided()
	others := slices.DeleteFunc(slices.Clone(s.Replicas), func(u ward.Replica) bool {
		return u.Version == target || slices.Contains(d.Rejected, u.Version)
	})
	accepting := slices.DeleteFunc(slices.Clone(others), func(u ward.Replica) bool { return u.Draining })
	switch {
	case s.accepts(decided):
		d.Version, d.Source = decided, FromRecord
	case len(accepting) > 0: // releases have replaced the decided version
		d.Version, d.Source = mostFrequent(accepting), FromReplicas
	case decided != "":
		d.Version, d.Source = decided, FromRecord
	case len(others) > 0:
		d.Version, d.Source = mostFrequent(others), FromReplicas
	case s.Seen != "":
		d.Version, d.Source = s.Seen, FromReplicas
	default:
		d.Version, d.Source = target, OnlyTarget
	}
	return d
}

// decided returns the version that the last roll-out has left in use, "" if there is no record of it.
func (s Service) decided() string {
	if s.Last.State == split.Done {
		return s.Last.To
	}
	return s.Last.From
}

// rejected returns the registered versions that roll-outs have not accepted.
func (s Service) rejected(target string) []string {
	list := slices.Clone(s.Last.Rejected)
	if s.Last.State != "" && s.Last.State != split.Done && s.Last.To != s.Last.From {
		list = append(list, s.Last.To)
	}
	list = slices.DeleteFunc(list, func(v string) bool { return v == "" || v == target || v == s.decided() || !s.registered(v) })
	slices.Sort(list)
	list = slices.Compact(list)
	return list[:min(len(list), maxRejected)]
}

// registered reports whether an upstream of a version is registered.
func (s Service) registered(version string) bool {
	return slices.ContainsFunc(s.Replicas, func(u ward.Replica) bool { return u.Version == version })
}

// accepts reports whether an upstream of a version accepts requests.
func (s Service) accepts(version string) bool {
	return version != "" && slices.ContainsFunc(s.Replicas, func(u ward.Replica) bool { return u.Version == version && !u.Draining })
}

// mostFrequent returns the version with most of the upstreams. Of equal numbers the lower text counts.
func mostFrequent(list []ward.Replica) string {
	count := make(map[string]int)
	for _, u := range list {
		count[u.Version]++
	}
	best := ""
	for version, n := range count {
		if best == "" || n > count[best] || n == count[best] && version < best {
			best = version
		}
	}
	return best
}
