// Package delta computes the difference between two configurations, so that a
// change of one object does not send the full document to every entry.
//
// # Usage
//
//	d := delta.Make(old, next)
//	got, err := delta.Apply(old, d) // delta.Sum(got) == delta.Sum(next)
//
// A ticket changes a few objects of a document of some hundred kilobytes. Apply
// compares a hash of the result with that of the sender; a receiver whose base
// differs gets ErrMismatch and asks for the full document.
package delta

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"agateward/ward"

	"github.com/cespare/xxhash/v2"
)

// ErrMismatch means that applying the delta does not give the sender's
// configuration.
var ErrMismatch = errors.New("configuration delta does not match")

// Make returns the difference between old and next.
func Make(old, next *ward.Config) ward.ConfigDelta {
	d := ward.ConfigDelta{Base: old.Revision, Config: *next, Sum: Sum(next)}
	d.Config.Upstreams, d.UpstreamsGone = diff(old.Upstreams, next.Upstreams, upstreamName)
	d.Config.Routes, d.RoutesGone = diff(old.Routes, next.Routes, routeName)
	d.Config.Teams, d.TeamsGone = diff(old.Teams, next.Teams, teamName)
	d.Config.Moves, d.MovesGone = diff(old.Moves, next.Moves, moveName)
	return d
}

// Apply returns the configuration that applying d to base gives.
func Apply(base *ward.Config, d ward.ConfigDelta) (*ward.Config, error) {
	if base.Revision != d.Base || base.Fleet != d.Config.Fleet {
		return nil, fmt.Errorf("base is revision %d of %q: %w", base.Revision, base.Fleet, ErrMismatch)
	}
	next := d.Config
	next.Upstreams = apply(base.Upstreams, d.Config.Upstreams, d.UpstreamsGone, upstreamName)
	next.Routes = apply(base.Routes, d.Config.Routes, d.RoutesGone, routeName)
	next.Teams = apply(base.Teams, d.Config.Teams, d.TeamsGone, teamName)
	next.Moves = apply(base.Moves, d.Config.Moves, d.MovesGone, moveName)
	next = *UTC(&next)
	if Sum(&next) != d.Sum {
		return nil, fmt.Errorf("revision %d: %w", next.Revision, ErrMismatch)
	}
	return &next, nil
}

// UTC returns c with its times in UTC, as a decoder may have set another time
// zone.
func UTC(c *ward.Config) *ward.Config {
	next := *c
	next.Accepted = utc(c.Accepted)
	next.Moves = slices.Clone(c.Moves)
	for i := range next.Moves {
		next.Moves[i].Start = utc(next.Moves[i].Start)
		next.Moves[i].Deadline = utc(next.Moves[i].Deadline)
	}
	return &next
}

// Sum returns a hash of c that does not depend on time zones, on the order of
// lists or on whether an empty list is nil.
func Sum(c *ward.Config) uint64 {
	plain := UTC(c)
	total := hash(struct {
		Fleet    string
		Revision uint64
		Ticket   uint64
		Attempt  string
		Accepted time.Time
	}{plain.Fleet, plain.Revision, plain.Ticket, plain.Attempt, plain.Accepted})
	return total + sum("u", plain.Upstreams) + sum("r", plain.Routes) + sum("t", plain.Teams) + sum("m", plain.Moves)
}

func sum[T any](kind string, list []T) uint64 {
	var total uint64
	for _, x := range list {
		total += hash(struct {
			Kind string
			Of   T
		}{kind, x})
	}
	return total
}

// hash hashes the JSON form, in which an omitted empty list and a nil one are the
// same.
func hash(v any) uint64 {
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func diff[T any](old, next []T, name func(T) string) (changed []T, gone []string) {
	before := make(map[string]uint64, len(old))
	for _, x := range old {
		before[name(x)] = hash(x)
	}
	for _, x := range next {
		if h, ok := before[name(x)]; !ok || h != hash(x) {
			changed = append(changed, x)
		}
		delete(before, name(x))
	}
	for n := range before {
		gone = append(gone, n)
	}
	slices.Sort(gone)
	return changed, gone
}

func apply[T any](base, changed []T, gone []string, name func(T) string) []T {
	drop := make(map[string]bool, len(changed)+len(gone))
	for _, n := range gone {
		drop[n] = true
	}
	for _, c := range changed {
		drop[name(c)] = true
	}
	next := slices.DeleteFunc(slices.Clone(base), func(x T) bool { return drop[name(x)] })
	next = append(next, changed...)
	slices.SortFunc(next, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return next
}

func utc(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return t.UTC()
}

func upstreamName(u ward.Upstream) string { return u.Name }
func routeName(r ward.Route) string       { return r.Name }
func teamName(t ward.Team) string         { return t.Name }
func moveName(m ward.Move) string         { return m.Name }
